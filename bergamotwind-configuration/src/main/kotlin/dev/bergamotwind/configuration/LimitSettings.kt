package dev.bergamotwind.configuration

import kotlin.time.Duration

/** Limits of a node; see [SettingDefinitions]. */
public data class LimitSettings(
    val maximumBodyBytes: Long,
    val requestsInFlight: Int,
    val queueLength: Int,
    val drain: Duration,
    val balancerLag: Duration,
    val keyValueCallsPerSecond: Int,
    val requestTimeout: Duration,
)
