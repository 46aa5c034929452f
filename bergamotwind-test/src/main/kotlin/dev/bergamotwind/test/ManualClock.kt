package dev.bergamotwind.test

import dev.bergamotwind.api.Clock
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** A clock that only moves when [advance] is called. */
public class ManualClock(startNanos: Long = 0) : Clock {
    private val nanos = AtomicLong(startNanos)

    override fun monotonicNanos(): Long = nanos.get()

    override fun wallMillis(): Long = nanos.get() / NANOS_PER_MILLISECOND

    /** Moves the clock forward by [duration]. */
    public fun advance(duration: Duration) {
        nanos.addAndGet(duration.inWholeNanoseconds)
    }

    private companion object {
        const val NANOS_PER_MILLISECOND = 1_000_000L
    }
}
