package dev.bergamotwind.configuration

/** Limits of the platform's weight store; see [SettingDefinitions]. */
public data class WeightStoreSettings(val loadsPerSecond: Int, val concurrentLoads: Int, val adapterLoadsInFlight: Int)
