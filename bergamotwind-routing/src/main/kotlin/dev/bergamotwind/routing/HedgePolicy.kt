package dev.bergamotwind.routing

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.SystemClock
import org.HdrHistogram.Histogram
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/**
 * Decides when an idempotent request without a first token is sent to a second target as well. Hedged requests use the
 * same [budget] as retries. Thread-safe.
 */
public class HedgePolicy(private val budget: RetryBudget, private val clock: Clock = SystemClock) {
    private var recent = newHistogram()
    private var previous = newHistogram()
    private var windowStartNanos = clock.monotonicNanos()
    private var cachedDelay = MIN_HEDGE_DELAY
    private var cachedDelayCount = 0L

    /** Records that a first token arrived after [latency]. */
    @Synchronized
    public fun recordFirstToken(latency: Duration) {
        rotateHistograms()
        recent.recordValue(latency.inWholeMicroseconds.coerceIn(1, MAX_HEDGE_OBSERVATION.inWholeMicroseconds))
    }

    /** Returns the time to wait before [tryAcquireHedge], or null while there are too few observations. */
    @Synchronized
    public fun hedgeDelay(): Duration? {
        rotateHistograms()
        val count = recent.totalCount + previous.totalCount
        if (count < MIN_HEDGE_OBSERVATIONS) return null
        // Merging the histograms for each request would cost more than the request itself.
        if (abs(count - cachedDelayCount) >= MIN_HEDGE_OBSERVATIONS) {
            val merged = previous.copy().apply { add(recent) }
            cachedDelay = maxOf(merged.getValueAtPercentile(HEDGE_PERCENTILE).microseconds, MIN_HEDGE_DELAY)
            cachedDelayCount = count
        }
        return cachedDelay
    }

    /** Takes a hedged request from the budget; false when none may be sent. */
    public fun tryAcquireHedge(idempotent: Boolean): Boolean = budget.tryAcquireRetry(idempotent)

    private fun rotateHistograms() {
        val now = clock.monotonicNanos()
        val age = now - windowStartNanos
        if (age < HEDGE_WINDOW.inWholeNanoseconds) return
        previous = if (age < 2 * HEDGE_WINDOW.inWholeNanoseconds) recent else newHistogram()
        recent = newHistogram()
        cachedDelayCount = 0
        windowStartNanos = now
    }

    private fun newHistogram() = Histogram(MAX_HEDGE_OBSERVATION.inWholeMicroseconds, 2)
}
