package dev.bergamotwind.serving.targets

import dev.bergamotwind.serving.call.ModelRequest

/** The prompt parts that were sent to one target lately, as far as its engine may still keep them. */
internal class PromptCacheEstimate {
    private val seen = object : LinkedHashMap<Long, Unit>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Unit>): Boolean = size > PROMPT_PARTS_REMEMBERED
    }

    /** Tokens of the leading parts of [work] that the engine is expected to keep. */
    fun cachedTokens(work: ModelRequest): Int {
        var tokens = 0
        for (part in work.parts) {
            if (key(work, part.id) !in seen) break
            tokens += part.tokens
        }
        return tokens.coerceAtMost(work.promptTokens)
    }

    fun sent(work: ModelRequest) {
        work.parts.forEach { seen[key(work, it.id)] = Unit }
    }

    private fun key(work: ModelRequest, part: Long): Long =
        part * MULTIPLIER + work.model.value.hashCode() + (work.adapter?.value?.hashCode() ?: 0).toLong() * MULTIPLIER

    private companion object {
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val MULTIPLIER = -7046029254386353131L
    }
}
