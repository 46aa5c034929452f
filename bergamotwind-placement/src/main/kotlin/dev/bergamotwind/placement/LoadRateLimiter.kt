package dev.bergamotwind.placement

import dev.bergamotwind.api.Clock
import kotlin.time.DurationUnit

/**
 * Token bucket for model loads, which keeps all owners together within the rate of the weight store. Starts empty,
 * because the previous owner may just have used its tokens.
 */
internal class LoadRateLimiter(private val clock: Clock) {
    private var tokens = 0.0
    private var lastNanos = clock.monotonicNanos()

    /** Refills the bucket at [loadsPerSecond] and returns the number of loads that may start now. */
    fun availableLoads(loadsPerSecond: Double): Int {
        val elapsed = clock.elapsedSince(lastNanos).toDouble(DurationUnit.SECONDS)
        lastNanos = clock.monotonicNanos()
        tokens = (tokens + elapsed * loadsPerSecond).coerceAtMost(maxOf(1.0, loadsPerSecond))
        return tokens.toInt()
    }

    /** Takes the tokens of [loads] that were started. */
    fun consume(loads: Int) {
        tokens -= loads
    }
}
