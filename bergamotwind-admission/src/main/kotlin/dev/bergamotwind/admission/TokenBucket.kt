package dev.bergamotwind.admission

import kotlin.math.max
import kotlin.math.min

/**
 * A token bucket whose reservations are settled later against the actual use.
 *
 * In every time window the tokens used, each counted at the time of its reservation, are at most
 * capacity + rate * window. A refund that is limited by the capacity alone would violate this: while the reservation
 * was open, the bucket may have been full and have discarded refill, and the refunded tokens would come in addition.
 * Therefore a refund is bounded by the smallest headroom that the bucket had since the reservation, and it lowers the
 * headroom recorded for other open reservations.
 *
 * Actual use above the reservation becomes debt, which is repaid from the refill before anything else is admitted.
 */
public class TokenBucket(nowNanos: Long, internal val invariantChecker: RateInvariantChecker) {
    private var refilledUntilNanos = nowNanos
    private var newestReservation: TokenReservation? = null

    /** Maximum number of tokens in the bucket. */
    public var capacity: Double = 0.0
        private set

    /** Refill in tokens per second. */
    public var ratePerSecond: Double = 0.0
        private set

    /** Tokens available as of the last call; negative while there is debt. */
    public var level: Double = 0.0
        private set

    /** Adds the refill up to [nowNanos]; an earlier time has no effect. */
    public fun refill(nowNanos: Long) {
        if (nowNanos <= refilledUntilNanos) return
        level = min(capacity, level + ratePerSecond * (nowNanos - refilledUntilNanos) / NANOS_PER_SECOND)
        refilledUntilNanos = nowNanos
        recordHeadroom()
    }

    /** Changes capacity and rate as of [nowNanos]. Added capacity starts empty. */
    public fun resize(newCapacity: Double, newRatePerSecond: Double, nowNanos: Long) {
        refill(nowNanos)
        invariantChecker.recordRateChange(newRatePerSecond, nowNanos)
        capacity = newCapacity
        ratePerSecond = newRatePerSecond
        level = min(level, capacity)
        recordHeadroom()
    }

    /** Adds [tokens] that were withdrawn from another bucket. */
    public fun deposit(tokens: Double, nowNanos: Long) {
        refill(nowNanos)
        val added = min(tokens, capacity - level)
        level += added
        invariantChecker.recordDeposit(added)
        recordHeadroom()
    }

    /** Removes up to [tokens], to be deposited in another bucket, and returns how many were removed. */
    public fun withdraw(tokens: Double, nowNanos: Long): Double {
        refill(nowNanos)
        val taken = max(0.0, min(tokens, level))
        level -= taken
        invariantChecker.recordWithdrawal(taken)
        return taken
    }

    /** Reserves [tokens], or returns null when the bucket holds fewer. */
    public fun reserve(tokens: Long, nowNanos: Long): TokenReservation? {
        refill(nowNanos)
        if (tokens > level) return null
        level -= tokens
        val windowNumber = invariantChecker.recordReservation(tokens, capacity, ratePerSecond, nowNanos)
        val reservation = TokenReservation(tokens.toDouble(), windowNumber)
        reservation.previous = newestReservation
        newestReservation?.next = reservation
        newestReservation = reservation
        recordHeadroom()
        return reservation
    }

    /** Settles [reservation] against [actualTokens] and returns the refund; only the first call has an effect. */
    public fun settle(reservation: TokenReservation, actualTokens: Long, nowNanos: Long): Double {
        if (!reservation.isOpen) return 0.0
        reservation.isOpen = false
        refill(nowNanos)
        val unused = reservation.tokens - actualTokens
        if (unused < 0) level += unused
        val refund = consumeHeadroom(reservation, max(0.0, unused))
        level += refund
        invariantChecker.recordSettlement(reservation.windowNumber, unused)
        unlink(reservation)
        return refund
    }

    /** Seconds until [tokens] are available, or infinity when the bucket can never hold that many. */
    public fun secondsUntilAvailable(tokens: Long): Double = when {
        tokens <= level -> 0.0
        tokens > capacity || ratePerSecond <= 0 -> Double.POSITIVE_INFINITY
        else -> (tokens - level) / ratePerSecond
    }

    private fun recordHeadroom() {
        newestReservation?.let { it.minimumHeadroom = min(it.minimumHeadroom, capacity - level) }
    }

    private fun consumeHeadroom(reservation: TokenReservation, unused: Double): Double {
        var refund = unused
        var current: TokenReservation? = reservation
        while (current != null) {
            refund = max(0.0, min(refund, current.minimumHeadroom))
            current.minimumHeadroom -= refund
            current = current.next
        }
        return refund
    }

    private fun unlink(reservation: TokenReservation) {
        val previous = reservation.previous
        val next = reservation.next
        if (previous != null) {
            previous.next = next
            previous.minimumHeadroom = min(previous.minimumHeadroom, reservation.minimumHeadroom)
        }
        if (next != null) next.previous = previous else newestReservation = previous
        reservation.previous = null
        reservation.next = null
    }
}
