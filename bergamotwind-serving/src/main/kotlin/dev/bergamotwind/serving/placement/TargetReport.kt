package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId

/** An engine's report about itself; it lags by a few hundred milliseconds. */
public data class TargetReport(
    /** Models on the engine, each with its adapters, including adapters that are being loaded. */
    val models: Map<ModelId, Set<AdapterId>>,
    /** True while an order for a model is being executed. */
    val isBusy: Boolean,
    /** Number of orders accepted since the engine's start. */
    val acceptedOrders: Long,
)
