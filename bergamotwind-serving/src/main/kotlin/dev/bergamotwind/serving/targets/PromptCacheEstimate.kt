package dev.bergamotwind.serving.targets

import dev.bergamotwind.serving.call.ModelRequest
import dev.bergamotwind.serving.call.PromptPartId

/** Estimates what an engine has cached from the prompt parts that were sent to it recently. */
internal class PromptCacheEstimate {
    private val recentParts = object : LinkedHashMap<Long, Unit>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Unit>): Boolean = size > REMEMBERED_PROMPT_PARTS
    }

    /** Returns the tokens of the leading parts of [request] that the engine is expected to have cached. */
    fun cachedTokens(request: ModelRequest): Int {
        var tokens = 0
        for (part in request.parts) {
            if (cacheKey(request, part.id) !in recentParts) break
            tokens += part.tokens
        }
        return tokens.coerceAtMost(request.promptTokens)
    }

    fun recordSent(request: ModelRequest) {
        request.parts.forEach { recentParts[cacheKey(request, it.id)] = Unit }
    }

    private fun cacheKey(request: ModelRequest, partId: PromptPartId): Long = partId.value * MULTIPLIER +
        request.model.value.hashCode() + (request.adapter?.value?.hashCode() ?: 0).toLong() * MULTIPLIER

    private companion object {
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val MULTIPLIER = -7046029254386353131L
    }
}
