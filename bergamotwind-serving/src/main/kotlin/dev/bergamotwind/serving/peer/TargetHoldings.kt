package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import kotlinx.serialization.Serializable

/** What a target holds according to the holder of orders. */
@Serializable
public data class TargetHoldings(val target: TargetId, val models: Map<ModelId, Set<AdapterId>>)
