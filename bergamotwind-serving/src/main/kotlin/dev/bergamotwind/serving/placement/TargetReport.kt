package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId

/** What an engine answers when it is asked about itself; as of some hundred milliseconds ago. */
public data class TargetReport(
    /** Models held, each with its adapters, those on their way included. */
    val models: Map<ModelId, Set<AdapterId>>,
    /** True while an order about a model is carried out. */
    val isBusy: Boolean,
    /** Orders accepted since the engine's start. */
    val acceptedOrders: Long,
)
