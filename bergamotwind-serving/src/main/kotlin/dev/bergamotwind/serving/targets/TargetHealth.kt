package dev.bergamotwind.serving.targets

import kotlin.math.pow

/** What the outcomes of recent attempts say about a target. Failures are forgotten with time, so it is tried again. */
internal class TargetHealth {
    private var failureShare = 0.0
    private var updatedMillis = 0L
    private var unreachableInSeries = 0
    private var suspendedUntilMillis = 0L

    /** Time of the last sign of life. */
    var heardMillis = 0L
        private set

    fun heard(nowMillis: Long) {
        heardMillis = nowMillis
        unreachableInSeries = 0
        suspendedUntilMillis = 0
    }

    fun succeeded(nowMillis: Long) {
        heard(nowMillis)
        failureShare = currentFailureShare(nowMillis) * (1 - OUTCOME_WEIGHT)
        updatedMillis = nowMillis
    }

    fun failed(nowMillis: Long) {
        failureShare = currentFailureShare(nowMillis) + OUTCOME_WEIGHT * (1 - currentFailureShare(nowMillis))
        updatedMillis = nowMillis
    }

    /** No connection could be made, or a request stayed without an answer for far longer than predicted. */
    fun unreachable(nowMillis: Long) {
        failed(nowMillis)
        val doublings = unreachableInSeries.coerceAtMost(LARGEST_SUSPENSION_DOUBLING)
        unreachableInSeries++
        suspend(nowMillis, FIRST_SUSPENSION_MILLIS shl doublings)
    }

    fun suspend(nowMillis: Long, forMillis: Long) {
        suspendedUntilMillis = maxOf(suspendedUntilMillis, nowMillis + forMillis)
    }

    fun isSuspended(nowMillis: Long): Boolean = nowMillis < suspendedUntilMillis

    fun currentFailureShare(nowMillis: Long): Double =
        failureShare * HALF.pow((nowMillis - updatedMillis) / FAILURE_HALF_LIFE_MILLIS)

    private companion object {
        const val HALF = 0.5
    }
}
