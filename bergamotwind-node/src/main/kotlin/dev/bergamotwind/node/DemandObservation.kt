package dev.bergamotwind.node

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Tokens

/** Tokens that a caller asked of a model, and of an adapter if given. */
internal data class DemandObservation(val model: ModelId, val adapter: AdapterId?, val tokens: Tokens)
