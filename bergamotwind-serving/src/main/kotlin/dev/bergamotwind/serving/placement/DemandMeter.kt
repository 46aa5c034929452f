package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import kotlin.math.exp

/** Measures the work requested of each model as an exponential moving average. Not thread-safe. */
internal class DemandMeter {
    private class DecayingSum(var work: Double, var updatedMillis: Long)

    private val sums = HashMap<ModelId, DecayingSum>()

    /** Records the arrival of a request that needs [workMillis] of an engine's time. */
    fun recordArrival(model: ModelId, workMillis: Double, nowMillis: Long) {
        val sum = sums.getOrPut(model) { DecayingSum(0.0, nowMillis) }
        decay(sum, nowMillis)
        sum.work += workMillis
    }

    /**
     * Discounts a request that was refused after its arrival: its caller usually retries, so it would be counted twice.
     */
    fun recordRefusal(model: ModelId, workMillis: Double) {
        val sum = sums[model] ?: return
        sum.work = (sum.work - workMillis * RETRIED_REQUEST_SHARE).coerceAtLeast(0.0)
    }

    /** Returns the requested milliseconds of work a second by model. */
    fun workPerSecond(nowMillis: Long): Map<ModelId, Int> {
        sums.values.forEach { decay(it, nowMillis) }
        sums.values.removeIf { it.work < NEGLIGIBLE_WORK }
        return sums.mapValues { (it.value.work / DEMAND_TIME_CONSTANT_SECONDS).toInt() }
    }

    private fun decay(sum: DecayingSum, nowMillis: Long) {
        val seconds = (nowMillis - sum.updatedMillis) / MILLIS_PER_SECOND
        sum.work *= exp(-seconds / DEMAND_TIME_CONSTANT_SECONDS)
        sum.updatedMillis = nowMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val NEGLIGIBLE_WORK = 1.0
    }
}
