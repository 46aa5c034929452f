package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import kotlinx.serialization.Serializable

/** A target and the adapter that a request uses or wants there. */
@Serializable
public data class AdapterUse(val target: TargetId, val model: ModelId, val adapter: AdapterId)
