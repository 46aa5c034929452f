package dev.bergamotwind.node

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Tokens

/** Estimated tokens of a request for a model, and for an adapter if it names one. */
internal data class DemandObservation(val model: ModelId, val adapter: AdapterId?, val tokens: Tokens)
