package dev.bergamotwind.configuration

/** Limits of the platform's weight store; see the settings page. */
public data class WeightStoreSettings(val loadsPerSecond: Int, val concurrentLoads: Int, val adapterLoadsInFlight: Int)
