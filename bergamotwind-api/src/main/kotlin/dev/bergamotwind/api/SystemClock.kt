package dev.bergamotwind.api

/** The clock of the machine. */
public object SystemClock : Clock {
    override fun monotonicNanos(): Long = System.nanoTime()

    override fun wallMillis(): Long = System.currentTimeMillis()
}
