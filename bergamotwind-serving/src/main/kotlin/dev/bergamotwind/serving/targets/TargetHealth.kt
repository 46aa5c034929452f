package dev.bergamotwind.serving.targets

import kotlin.math.pow

/** Health of a target according to the recent attempts. Failures decay over time, so that the target is tried again. */
internal class TargetHealth {
    private var failureShare = 0.0
    private var updatedMillis = 0L
    private var consecutiveUnreachable = 0
    private var suspendedUntilMillis = 0L

    /** Time at which the target last sent anything. */
    var lastContactMillis = 0L
        private set

    fun recordContact(nowMillis: Long) {
        lastContactMillis = nowMillis
        consecutiveUnreachable = 0
        suspendedUntilMillis = 0
    }

    fun recordSuccess(nowMillis: Long) {
        recordContact(nowMillis)
        failureShare = currentFailureShare(nowMillis) * (1 - OUTCOME_WEIGHT)
        updatedMillis = nowMillis
    }

    fun recordFailure(nowMillis: Long) {
        failureShare = currentFailureShare(nowMillis) + OUTCOME_WEIGHT * (1 - currentFailureShare(nowMillis))
        updatedMillis = nowMillis
    }

    /** Records that no connection could be opened, or that a request was unanswered for far longer than predicted. */
    fun recordUnreachable(nowMillis: Long) {
        recordFailure(nowMillis)
        val doublings = consecutiveUnreachable.coerceAtMost(MAX_SUSPENSION_DOUBLINGS)
        consecutiveUnreachable++
        suspend(nowMillis, FIRST_SUSPENSION_MILLIS shl doublings)
    }

    fun suspend(nowMillis: Long, durationMillis: Long) {
        suspendedUntilMillis = maxOf(suspendedUntilMillis, nowMillis + durationMillis)
    }

    fun isSuspended(nowMillis: Long): Boolean = nowMillis < suspendedUntilMillis

    fun currentFailureShare(nowMillis: Long): Double =
        failureShare * HALF.pow((nowMillis - updatedMillis) / FAILURE_HALF_LIFE_MILLIS)

    private companion object {
        const val HALF = 0.5
    }
}
