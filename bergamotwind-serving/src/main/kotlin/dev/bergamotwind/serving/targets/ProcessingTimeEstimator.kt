package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.serving.call.ModelRequest

/** Learns the prefill time of engines, by model, and the processing time of requests to plain services. */
internal class ProcessingTimeEstimator {
    private class Estimate(var millisPerToken: Double, var observations: Int)

    /** Moving average in which the first observations weigh more. */
    private class MovingAverage(var value: Double) {
        private var observations = 0

        fun record(observed: Double) {
            observations++
            value += maxOf(PROCESSING_TIME_WEIGHT, 1.0 / (observations + 1)) * (observed - value)
        }
    }

    private val estimates = HashMap<ModelId, Estimate>()
    private val prefilledShares = HashMap<ModelId, MovingAverage>()
    private val outputTokenMillis = HashMap<ModelId, MovingAverage>()
    private val serviceMillis = HashMap<ServiceId, Double>()

    /** Learned prefill milliseconds for each prompt token, by model. */
    val millisPerTokenByModel: Map<ModelId, Double> get() = estimates.mapValues { it.value.millisPerToken }

    fun millisPerToken(model: ModelId): Double = estimates[model]?.millisPerToken ?: DEFAULT_MILLIS_PER_TOKEN

    /**
     * Milliseconds of engine time that [request] needs: the prefill of the part of its prompt that engines usually have
     * not cached, and the share of an engine's slots that it occupies while its tokens are generated.
     */
    fun engineMillis(request: ModelRequest): Double {
        val prefilledShare = prefilledShares[request.model]?.value ?: 1.0
        val millisPerOutputToken = outputTokenMillis[request.model]?.value ?: OUTPUT_TOKEN_MILLIS
        return request.promptTokens * prefilledShare * millisPerToken(request.model) +
            request.outputTokens * millisPerOutputToken
    }

    /** Records that [request] was sent to an engine that has to spend [prefillMillis] on its prompt. */
    fun recordPrefill(request: ModelRequest, prefillMillis: Double) {
        val wholePrefillMillis = request.promptTokens * millisPerToken(request.model)
        if (wholePrefillMillis <= 0) return
        val share = (prefillMillis / wholePrefillMillis).coerceAtMost(1.0)
        prefilledShares.getOrPut(request.model) { MovingAverage(1.0) }.record(share)
    }

    /** Records that the events of [request] arrived within [streamMillis] from an engine with [slots] slots. */
    fun recordGeneration(request: ModelRequest, streamMillis: Double, slots: Int) {
        if (request.outputTokens <= 0) return
        val millis = streamMillis / slots.coerceAtLeast(1) / request.outputTokens
        outputTokenMillis.getOrPut(request.model) { MovingAverage(OUTPUT_TOKEN_MILLIS) }.record(millis)
    }

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
