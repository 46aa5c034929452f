package dev.bergamotwind.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId

/** Estimated demand in tokens a second. The demand of a model includes that of its adapters. */
public data class DemandEstimate(
    val models: Map<ModelId, Double> = emptyMap(),
    val adapters: Map<AdapterId, Double> = emptyMap(),
) {
    /** Demand for [model]. */
    public fun of(model: ModelId): Double = models[model] ?: 0.0

    /** Demand for [adapter]. */
    public fun of(adapter: AdapterId): Double = adapters[adapter] ?: 0.0
}
