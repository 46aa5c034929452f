package dev.bergamotwind.placement

/** Limits of the weight store for all owners together, and the number of adapter loads it serves without slowdown. */
public data class StoreLimits(
    val loadsPerSecond: Double = DEFAULT_STORE_LOADS_PER_SECOND,
    val concurrentLoads: Int = DEFAULT_STORE_CONCURRENT_LOADS,
    val adapterLoadsInFlight: Int = DEFAULT_ADAPTER_LOADS_IN_FLIGHT,
)
