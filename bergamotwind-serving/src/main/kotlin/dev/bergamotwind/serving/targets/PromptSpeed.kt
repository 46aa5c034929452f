package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.serving.call.ModelWork

/** Learns how long engines take to read prompts, by model, and how long plain services work on a request. */
internal class PromptSpeed {
    private val millisPerToken = HashMap<ModelId, Double>()
    private val serviceMillis = HashMap<ServiceId, Double>()

    /** Learned milliseconds for a token of a prompt, by model. */
    val byModel: Map<ModelId, Double> get() = millisPerToken

    fun millisPerToken(model: ModelId): Double = millisPerToken[model] ?: ASSUMED_MILLIS_PER_TOKEN

    /** Milliseconds of an engine's time that [work] needs. */
    fun workMillis(work: ModelWork): Double =
        work.promptTokens * millisPerToken(work.model) + (work.memoryTokens - work.promptTokens) * OUTPUT_TOKEN_MILLIS

    fun serviceMillis(service: ServiceId): Double = serviceMillis[service] ?: ASSUMED_SERVICE_MILLIS

    /** A first event came after [observedMillis] where [predictedMillis] were predicted. */
    fun promptRead(model: ModelId, predictedMillis: Double, observedMillis: Double) {
        if (predictedMillis <= 0) return
        val ratio = (observedMillis / predictedMillis).coerceIn(SMALLEST_RATIO, LARGEST_RATIO)
        val known = millisPerToken(model)
        millisPerToken[model] = (known * (1 + SPEED_WEIGHT * (ratio - 1)))
            .coerceIn(LEAST_MILLIS_PER_TOKEN, MOST_MILLIS_PER_TOKEN)
    }

    /** A plain answer took [observedMillis] at a target that had a free slot. */
    fun served(service: ServiceId, observedMillis: Double) {
        val known = serviceMillis(service)
        serviceMillis[service] = known + SPEED_WEIGHT * (observedMillis.coerceAtMost(known * LARGEST_RATIO) - known)
    }
}
