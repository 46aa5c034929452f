package dev.bergamotwind.placement

import dev.bergamotwind.api.Clock
import kotlin.time.DurationUnit

/**
 * Spreads model loads so that the weight store's rate holds for all owners together. Starts empty, because a former
 * owner may just have used its allowance.
 */
internal class LoadAllowance(private val clock: Clock) {
    private var available = 0.0
    private var lastNanos = clock.monotonicNanos()

    /** Number of loads that may start now at [loadsPerSecond]. */
    fun startable(loadsPerSecond: Double): Int {
        val elapsed = clock.elapsedSince(lastNanos).toDouble(DurationUnit.SECONDS)
        lastNanos = clock.monotonicNanos()
        available = (available + elapsed * loadsPerSecond).coerceAtMost(maxOf(1.0, loadsPerSecond))
        return available.toInt()
    }

    /** Notes that [loads] were started. */
    fun use(loads: Int) {
        available -= loads
    }
}
