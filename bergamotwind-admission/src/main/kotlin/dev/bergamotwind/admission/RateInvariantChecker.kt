package dev.bergamotwind.admission

import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.TeamId

/**
 * Checks RATE_NOT_EXCEEDED for one bucket independently of the bucket's level: in windows of ten seconds it compares
 * the tokens taken, from its own sums, with capacity + rate * time. It detects excessive refunds, refill that is
 * counted twice and capacity that does not start empty.
 */
public class RateInvariantChecker(private val team: TeamId, private val monitor: InvariantMonitor) {
    private var windowNumber = 0L
    private var windowStartNanos = Long.MIN_VALUE
    private var allowance = 0.0
    private var taken = 0.0
    private var rate = 0.0
    private var accruedUntilNanos = Long.MIN_VALUE

    internal fun recordRateChange(newRatePerSecond: Double, nowNanos: Long) {
        accrueAllowance(nowNanos)
        rate = newRatePerSecond
    }

    internal fun recordDeposit(tokens: Double) {
        allowance += tokens
    }

    internal fun recordWithdrawal(tokens: Double) {
        taken += tokens
    }

    /** Records a reservation and returns the number of the window that it falls into. */
    internal fun recordReservation(tokens: Long, capacity: Double, ratePerSecond: Double, nowNanos: Long): Long {
        if (windowStartNanos == Long.MIN_VALUE || nowNanos - windowStartNanos > WINDOW_NANOS) {
            startWindow(capacity, nowNanos)
        }
        accrueAllowance(nowNanos)
        rate = ratePerSecond
        taken += tokens
        monitor.check(Invariant.RATE_NOT_EXCEEDED, taken <= allowance + TOLERANCE_TOKENS) {
            "team=$team taken=$taken allowance=$allowance capacity=$capacity rate=$ratePerSecond"
        }
        return windowNumber
    }

    internal fun recordSettlement(reservationWindow: Long, unused: Double) {
        // Tokens unused in an earlier window do not extend this one, whose allowance already assumes a full bucket.
        if (reservationWindow == windowNumber && unused > 0) taken -= unused
    }

    private fun startWindow(capacity: Double, nowNanos: Long) {
        windowNumber++
        windowStartNanos = nowNanos
        accruedUntilNanos = nowNanos
        allowance = capacity
        taken = 0.0
    }

    private fun accrueAllowance(nowNanos: Long) {
        if (nowNanos <= accruedUntilNanos) return
        if (accruedUntilNanos != Long.MIN_VALUE) allowance += rate * (nowNanos - accruedUntilNanos) / NANOS_PER_SECOND
        accruedUntilNanos = nowNanos
    }

    private companion object {
        const val WINDOW_NANOS = 10_000_000_000L

        /** Tolerance for rounding errors in sums of doubles; far below the size of a request. */
        const val TOLERANCE_TOKENS = 1e-3
    }
}
