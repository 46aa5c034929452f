package dev.bergamotwind.platform

import kotlin.time.Duration

/** How the platform is reached. [endpoints] are `IP:PORT`, tried in order from the last one that answered. */
public data class PlatformSettings(
    val endpoints: List<String>,
    val callsPerSecond: Int = DEFAULT_CALLS_PER_SECOND,
    val reservedCallsPerSecond: Int = DEFAULT_RESERVED_CALLS_PER_SECOND,
    val callTimeout: Duration = DEFAULT_CALL_TIMEOUT,
    val connectTimeout: Duration = DEFAULT_CONNECT_TIMEOUT,
)
