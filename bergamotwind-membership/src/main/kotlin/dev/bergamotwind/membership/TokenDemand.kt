package dev.bergamotwind.membership

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId

/** Tokens a second that callers request of [model], or of its [adapter], at one node or in one failure domain. */
public data class TokenDemand(val model: ModelId, val adapter: AdapterId?, val tokensPerSecond: Long)
