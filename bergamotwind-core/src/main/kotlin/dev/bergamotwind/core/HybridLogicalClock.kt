package dev.bergamotwind.core

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.SystemClock
import java.util.concurrent.atomic.AtomicReference

/**
 * Hybrid logical clock: follows the wall clock, never goes back, and orders an event after every event whose time
 * this process has received.
 */
public class HybridLogicalClock(private val clock: Clock = SystemClock) {
    private val last = AtomicReference(HybridTime(0, 0))

    /** Returns the time of a local event. */
    public fun now(): HybridTime = last.updateAndGet { previous -> following(previous, clock.wallMillis()) }

    /** Takes note of [received] from another process and returns the time of its receipt. */
    public fun receive(received: HybridTime): HybridTime =
        last.updateAndGet { previous -> following(maxOf(previous, received), clock.wallMillis()) }

    private fun following(previous: HybridTime, wallMillis: Long): HybridTime = if (wallMillis > previous.millis) {
        HybridTime(wallMillis, 0)
    } else {
        HybridTime(previous.millis, previous.counter + 1)
    }
}
