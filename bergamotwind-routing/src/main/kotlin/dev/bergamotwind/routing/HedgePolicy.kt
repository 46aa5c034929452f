package dev.bergamotwind.routing

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.SystemClock
import org.HdrHistogram.Histogram
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/**
 * Decides when an idempotent request that has no first token yet is sent to a second target. Hedged requests come out
 * of the same [budget] as retries. Safe for use by several threads.
 */
public class HedgePolicy(private val budget: RetryBudget, private val clock: Clock = SystemClock) {
    private var recent = histogram()
    private var previous = histogram()
    private var windowNanos = clock.monotonicNanos()
    private var knownDelay = HEDGE_LEAST_DELAY
    private var delayCount = 0L

    /** A first token came after [latency]. */
    @Synchronized
    public fun observed(latency: Duration) {
        rotate()
        recent.recordValue(latency.inWholeMicroseconds.coerceIn(1, HEDGE_LONGEST_OBSERVATION.inWholeMicroseconds))
    }

    /** Returns the time to wait before [tryHedge], or null while too little has been observed. */
    @Synchronized
    public fun delay(): Duration? {
        rotate()
        val count = recent.totalCount + previous.totalCount
        if (count < HEDGE_LEAST_OBSERVATIONS) return null
        // Merging the histograms for each request would cost more than the request.
        if (abs(count - delayCount) >= HEDGE_LEAST_OBSERVATIONS) {
            val both = previous.copy().apply { add(recent) }
            knownDelay = maxOf(both.getValueAtPercentile(HEDGE_PERCENTILE).microseconds, HEDGE_LEAST_DELAY)
            delayCount = count
        }
        return knownDelay
    }

    /** Takes a hedged request from the budget; false when it must not be sent. */
    public fun tryHedge(idempotent: Boolean): Boolean = budget.tryRetry(idempotent)

    private fun rotate() {
        val now = clock.monotonicNanos()
        val age = now - windowNanos
        if (age < HEDGE_WINDOW.inWholeNanoseconds) return
        previous = if (age < 2 * HEDGE_WINDOW.inWholeNanoseconds) recent else histogram()
        recent = histogram()
        delayCount = 0
        windowNanos = now
    }

    private fun histogram() = Histogram(HEDGE_LONGEST_OBSERVATION.inWholeMicroseconds, 2)
}
