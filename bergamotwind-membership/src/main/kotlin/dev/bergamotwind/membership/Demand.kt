package dev.bergamotwind.membership

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId

/** Tokens a second that callers ask of [model], or of [adapter] of it, at one node or in one failure domain. */
public data class Demand(val model: ModelId, val adapter: AdapterId?, val tokensPerSecond: Long)
