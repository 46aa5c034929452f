package dev.bergamotwind.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId

/** Estimated demand in tokens per second. The demand for a model includes the demand for its adapters. */
public data class DemandEstimate(
    val models: Map<ModelId, Double> = emptyMap(),
    val adapters: Map<AdapterId, Double> = emptyMap(),
) {
    /** Returns the demand for [model]; 0 if none was observed. */
    public fun of(model: ModelId): Double = models[model] ?: 0.0

    /** Returns the demand for [adapter]; 0 if none was observed. */
    public fun of(adapter: AdapterId): Double = adapters[adapter] ?: 0.0
}
