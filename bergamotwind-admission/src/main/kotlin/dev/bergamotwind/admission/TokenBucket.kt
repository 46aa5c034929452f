package dev.bergamotwind.admission

import kotlin.math.max
import kotlin.math.min

/**
 * A token bucket whose reservations are settled later by actual use.
 *
 * Over every window the tokens used, each counted at the time of its reservation, are at most capacity + rate * window.
 * A refund that only checks the capacity would break this: while a reservation was open the bucket may have been full
 * and have lost refill, and the refunded tokens would come on top. Therefore a refund is bounded by the smallest
 * headroom that the bucket had since the reservation, and it lowers the headroom seen by other open reservations.
 *
 * Actual use above the reservation becomes debt, which is repaid from the refill before anything else is admitted.
 */
public class TokenBucket(nowNanos: Long, internal val witness: RateWitness) {
    private var advancedTo = nowNanos
    private var newest: TokenReservation? = null

    /** Tokens that the bucket can hold. */
    public var capacity: Double = 0.0
        private set

    /** Refill in tokens per second. */
    public var ratePerSecond: Double = 0.0
        private set

    /** Tokens available as of the last call; negative while there is debt. */
    public var level: Double = 0.0
        private set

    /** Adds the refill up to [nowNanos]; an earlier time has no effect. */
    public fun advance(nowNanos: Long) {
        if (nowNanos <= advancedTo) return
        level = min(capacity, level + ratePerSecond * (nowNanos - advancedTo) / NANOS_PER_SECOND)
        advancedTo = nowNanos
        noteHeadroom()
    }

    /** Changes capacity and rate from [nowNanos] on. Added capacity starts empty. */
    public fun resize(newCapacity: Double, newRatePerSecond: Double, nowNanos: Long) {
        advance(nowNanos)
        witness.rateChanged(newRatePerSecond, nowNanos)
        capacity = newCapacity
        ratePerSecond = newRatePerSecond
        level = min(level, capacity)
        noteHeadroom()
    }

    /** Adds [tokens] that another bucket gave up. */
    public fun deposit(tokens: Double, nowNanos: Long) {
        advance(nowNanos)
        val added = min(tokens, capacity - level)
        level += added
        witness.deposited(added)
        noteHeadroom()
    }

    /** Takes up to [tokens] out, to be handed to another bucket, and returns how many. */
    public fun withdraw(tokens: Double, nowNanos: Long): Double {
        advance(nowNanos)
        val taken = max(0.0, min(tokens, level))
        level -= taken
        witness.withdrawn(taken)
        return taken
    }

    /** Reserves [tokens], or returns null when the bucket holds fewer. */
    public fun reserve(tokens: Long, nowNanos: Long): TokenReservation? {
        advance(nowNanos)
        if (tokens > level) return null
        level -= tokens
        val reservation =
            TokenReservation(tokens.toDouble(), witness.reserved(tokens, capacity, ratePerSecond, nowNanos))
        reservation.previous = newest
        newest?.next = reservation
        newest = reservation
        noteHeadroom()
        return reservation
    }

    /** Settles [reservation] by [actualTokens] and returns the refund; only the first call has an effect. */
    public fun settle(reservation: TokenReservation, actualTokens: Long, nowNanos: Long): Double {
        if (!reservation.open) return 0.0
        reservation.open = false
        advance(nowNanos)
        val unused = reservation.tokens - actualTokens
        if (unused < 0) level += unused
        val refund = refund(reservation, max(0.0, unused))
        level += refund
        witness.settled(reservation.window, unused)
        unlink(reservation)
        return refund
    }

    /** Seconds until [tokens] are available, or infinity when the bucket never holds as many. */
    public fun secondsUntil(tokens: Long): Double = when {
        tokens <= level -> 0.0
        tokens > capacity || ratePerSecond <= 0 -> Double.POSITIVE_INFINITY
        else -> (tokens - level) / ratePerSecond
    }

    private fun noteHeadroom() {
        newest?.let { it.headroom = min(it.headroom, capacity - level) }
    }

    private fun refund(reservation: TokenReservation, unused: Double): Double {
        var refund = unused
        var segment: TokenReservation? = reservation
        while (segment != null) {
            refund = max(0.0, min(refund, segment.headroom))
            segment.headroom -= refund
            segment = segment.next
        }
        return refund
    }

    private fun unlink(reservation: TokenReservation) {
        val previous = reservation.previous
        val next = reservation.next
        if (previous != null) {
            previous.next = next
            previous.headroom = min(previous.headroom, reservation.headroom)
        }
        if (next != null) next.previous = previous else newest = previous
        reservation.previous = null
        reservation.next = null
    }
}
