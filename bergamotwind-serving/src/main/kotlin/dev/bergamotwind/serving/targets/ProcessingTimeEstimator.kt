package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.serving.call.ModelRequest

/** Learns the prefill time of engines, by model, and the processing time of requests to plain services. */
internal class ProcessingTimeEstimator {
    private class Estimate(var millisPerToken: Double, var observations: Int)

    private val estimates = HashMap<ModelId, Estimate>()
    private val serviceMillis = HashMap<ServiceId, Double>()

    /** Learned prefill milliseconds for each prompt token, by model. */
    val millisPerTokenByModel: Map<ModelId, Double> get() = estimates.mapValues { it.value.millisPerToken }

    fun millisPerToken(model: ModelId): Double = estimates[model]?.millisPerToken ?: DEFAULT_MILLIS_PER_TOKEN

    /** Milliseconds of engine time that [request] needs. */
    fun engineMillis(request: ModelRequest): Double = request.promptTokens * millisPerToken(request.model) +
        (request.memoryTokens - request.promptTokens) * OUTPUT_TOKEN_MILLIS

    fun serviceMillis(service: ServiceId): Double = serviceMillis[service] ?: DEFAULT_SERVICE_MILLIS

    /**
     * Records that a first event took [observedMillis] where [predictedMillis] were predicted, [prefillMillis] of them
     * for prefill. Predictions that consist mostly of queueing are ignored, because they say little about the model.
     * The first observations of a model weigh more, because models differ in speed by a factor of ten.
     */
    fun recordFirstEvent(model: ModelId, predictedMillis: Double, prefillMillis: Double, observedMillis: Double) {
        if (prefillMillis < predictedMillis * MIN_PREFILL_SHARE) return
        val estimate = estimates.getOrPut(model) { Estimate(DEFAULT_MILLIS_PER_TOKEN, 0) }
        val ratio = ((observedMillis - (predictedMillis - prefillMillis)) / prefillMillis)
            .coerceIn(MIN_PREFILL_RATIO, MAX_PREFILL_RATIO)
        estimate.observations++
        val baseWeight = maxOf(PROCESSING_TIME_WEIGHT, 1.0 / (estimate.observations + 1))
        // Requests that other VMs have just sent make prefill look slow; nothing makes it look fast.
        val weight = if (ratio > 1) baseWeight * SLOWER_WEIGHT else baseWeight
        estimate.millisPerToken = (estimate.millisPerToken * (1 + weight * (ratio - 1)))
            .coerceIn(MIN_MILLIS_PER_TOKEN, MAX_MILLIS_PER_TOKEN)
    }

    /** Records that a plain response took [observedMillis] at a target that had a free slot. */
    fun recordServiceTime(service: ServiceId, observedMillis: Double) {
        val known = serviceMillis(service)
        serviceMillis[service] =
            known + PROCESSING_TIME_WEIGHT * (observedMillis.coerceAtMost(known * MAX_LATENCY_RATIO) - known)
    }
}
