package dev.bergamotwind.placement

/** Load limits of the weight store, shared by all owners; [adapterLoadsInFlight] is served without slowdown. */
public data class WeightStoreLimits(
    val loadsPerSecond: Double = DEFAULT_STORE_LOADS_PER_SECOND,
    val concurrentLoads: Int = DEFAULT_STORE_CONCURRENT_LOADS,
    val adapterLoadsInFlight: Int = DEFAULT_ADAPTER_LOADS_IN_FLIGHT,
)
