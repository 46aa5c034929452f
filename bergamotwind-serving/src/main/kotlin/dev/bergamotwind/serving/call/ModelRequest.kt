package dev.bergamotwind.serving.call

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId

/** The part of a call that is addressed to a model. */
public data class ModelRequest(
    val model: ModelId,
    val adapter: AdapterId?,
    val promptTokens: Int,
    /** Largest number of tokens that may be generated. */
    val outputLimitTokens: Int,
    /** The caller's estimate of the tokens that will be generated, or null. */
    val outputEstimateTokens: Int?,
    val parts: List<PromptPart>,
) {
    /** Parts that other requests may have as well; the last part belongs to the request or its session alone. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)

    /** Tokens that are expected to be generated. */
    val outputTokens: Int get() = outputEstimateTokens?.coerceAtMost(outputLimitTokens) ?: outputLimitTokens

    /** Tokens that the request is expected to occupy in an engine's memory when it ends. */
    val memoryTokens: Int get() = promptTokens + outputTokens
}
