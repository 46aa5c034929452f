package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.serving.call.ModelRequest

/** Learns how long engines take to read prompts, by model, and how long plain services work on a request. */
internal class ProcessingTimeEstimator {
    private class Learned(var millisPerToken: Double, var observations: Int)

    private val learned = HashMap<ModelId, Learned>()
    private val serviceMillis = HashMap<ServiceId, Double>()

    /** Learned milliseconds for a token of a prompt, by model. */
    val byModel: Map<ModelId, Double> get() = learned.mapValues { it.value.millisPerToken }

    fun millisPerToken(model: ModelId): Double = learned[model]?.millisPerToken ?: ASSUMED_MILLIS_PER_TOKEN

    /** Milliseconds of an engine's time that [work] needs. */
    fun workMillis(work: ModelRequest): Double =
        work.promptTokens * millisPerToken(work.model) + (work.memoryTokens - work.promptTokens) * OUTPUT_TOKEN_MILLIS

    fun serviceMillis(service: ServiceId): Double = serviceMillis[service] ?: ASSUMED_SERVICE_MILLIS

    /**
     * A first event came after [observedMillis] where [predictedMillis] were predicted, [promptMillis] of them for
     * reading the prompt. Where most of the prediction was waiting, the observation says little about the model. The
     * first observations of a model weigh more, because models differ in speed by a factor of ten.
     */
    fun promptRead(model: ModelId, predictedMillis: Double, promptMillis: Double, observedMillis: Double) {
        if (promptMillis < predictedMillis * LEAST_PROMPT_SHARE) return
        val known = learned.getOrPut(model) { Learned(ASSUMED_MILLIS_PER_TOKEN, 0) }
        val ratio = ((observedMillis - (predictedMillis - promptMillis)) / promptMillis)
            .coerceIn(SMALLEST_PROMPT_RATIO, LARGEST_PROMPT_RATIO)
        known.observations++
        val first = maxOf(SPEED_WEIGHT, 1.0 / (known.observations + 1))
        // Requests that other VMs have just sent make a prompt look slow; nothing makes it look fast.
        val weight = if (ratio > 1) first * SLOWER_WEIGHT else first
        known.millisPerToken = (known.millisPerToken * (1 + weight * (ratio - 1)))
            .coerceIn(LEAST_MILLIS_PER_TOKEN, MOST_MILLIS_PER_TOKEN)
    }

    /** A plain answer took [observedMillis] at a target that had a free slot. */
    fun served(service: ServiceId, observedMillis: Double) {
        val known = serviceMillis(service)
        serviceMillis[service] = known + SPEED_WEIGHT * (observedMillis.coerceAtMost(known * LARGEST_RATIO) - known)
    }
}
