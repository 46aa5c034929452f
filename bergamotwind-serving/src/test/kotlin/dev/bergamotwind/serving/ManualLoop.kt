package dev.bergamotwind.serving

import java.util.PriorityQueue

/** A [ServingLoop] whose clock is advanced by the test. */
class ManualLoop(startMillis: Long = 0, wallStartMillis: Long = 1_700_000_000_000) : ServingLoop {
    private class Timer(val atMillis: Long, val sequence: Long, val action: () -> Unit)

    private val timers = PriorityQueue(compareBy<Timer>({ it.atMillis }, { it.sequence }))
    private var millis = startMillis
    private var wallOffset = wallStartMillis - startMillis
    private var sequence = 0L

    override fun nowMillis(): Long = millis

    override fun wallMillis(): Long = millis + wallOffset

    override fun schedule(delayMillis: Long, action: () -> Unit): () -> Unit {
        val timer = Timer(millis + delayMillis.coerceAtLeast(0), sequence++, action)
        timers += timer
        return { timers -= timer }
    }

    /** Advances the clock and runs the timers that become due, in order. */
    fun advance(forMillis: Long) {
        val end = millis + forMillis
        while (timers.isNotEmpty() && timers.peek().atMillis <= end) {
            val timer = timers.poll()
            millis = timer.atMillis
            timer.action()
        }
        millis = end
    }

    /** Advances only the wall clock, as while the VM is suspended. */
    fun suspendFor(forMillis: Long) {
        wallOffset += forMillis
    }
}
