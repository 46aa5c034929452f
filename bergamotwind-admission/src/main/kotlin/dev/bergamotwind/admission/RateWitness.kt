package dev.bergamotwind.admission

import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.TeamId

/**
 * Asserts RATE_NOT_EXCEEDED for one bucket without looking at its level: within windows of ten seconds it compares the
 * tokens taken with capacity + rate * time, from its own sums. It catches refunds that are too high, refill counted
 * twice and capacity that starts full.
 */
public class RateWitness(private val team: TeamId, private val monitor: InvariantMonitor) {
    private var window = 0L
    private var windowStart = Long.MIN_VALUE
    private var allowance = 0.0
    private var taken = 0.0
    private var rate = 0.0
    private var accruedTo = Long.MIN_VALUE

    internal fun rateChanged(newRatePerSecond: Double, nowNanos: Long) {
        accrue(nowNanos)
        rate = newRatePerSecond
    }

    internal fun deposited(tokens: Double) {
        allowance += tokens
    }

    internal fun withdrawn(tokens: Double) {
        taken += tokens
    }

    /** Notes a reservation and returns the number of the window it falls into. */
    internal fun reserved(tokens: Long, capacity: Double, ratePerSecond: Double, nowNanos: Long): Long {
        if (windowStart == Long.MIN_VALUE || nowNanos - windowStart > WINDOW_NANOS) begin(capacity, nowNanos)
        accrue(nowNanos)
        rate = ratePerSecond
        taken += tokens
        monitor.check(Invariant.RATE_NOT_EXCEEDED, taken <= allowance + TOLERANCE_TOKENS) {
            "team=$team taken=$taken allowance=$allowance capacity=$capacity rate=$ratePerSecond"
        }
        return window
    }

    internal fun settled(reservedIn: Long, unused: Double) {
        // What an earlier window did not use was available to that window only: the bucket was at most full since.
        if (reservedIn == window && unused > 0) taken -= unused
    }

    private fun begin(capacity: Double, nowNanos: Long) {
        window++
        windowStart = nowNanos
        accruedTo = nowNanos
        allowance = capacity
        taken = 0.0
    }

    private fun accrue(nowNanos: Long) {
        if (nowNanos <= accruedTo) return
        if (accruedTo != Long.MIN_VALUE) allowance += rate * (nowNanos - accruedTo) / NANOS_PER_SECOND
        accruedTo = nowNanos
    }

    private companion object {
        const val WINDOW_NANOS = 10_000_000_000L

        /** Rounding of sums of doubles; far below one request. */
        const val TOLERANCE_TOKENS = 1e-3
    }
}
