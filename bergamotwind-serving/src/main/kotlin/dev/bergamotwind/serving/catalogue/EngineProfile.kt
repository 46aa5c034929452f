package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.ModelId

/** Properties that all engines of a service share. */
public data class EngineProfile(
    /** Number of requests that run concurrently. */
    val slots: Int,
    /** Capacity in tokens that running requests and cached prompt parts share. */
    val cacheTokens: Long,
    /** Megabytes for weights and adapters together. */
    val weightsMegabytes: Double,
    /** Number of adapters that an engine can hold at once, over all its models. */
    val adapterCapacity: Int,
    /** Number of loads from the weight store that may begin each second, over all targets of the service. */
    val storeLoadsPerSecond: Double,
    val models: Map<ModelId, ServedModel>,
)
