package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.ModelId

/** What the engines of a service have in common. */
public data class EngineProfile(
    /** Requests that run at once. */
    val slots: Int,
    /** Tokens that running requests and cached prompt parts share. */
    val cacheTokens: Long,
    /** Megabytes for weights and adapters together. */
    val weightsMegabytes: Double,
    /** Adapters that an engine holds at once, over all its models. */
    val adapterCapacity: Int,
    /** Loads from the weight store that may begin each second, over all targets of the service. */
    val storeLoadsPerSecond: Double,
    val models: Map<ModelId, ServedModel>,
)
