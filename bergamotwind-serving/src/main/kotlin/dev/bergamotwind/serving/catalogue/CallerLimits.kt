package dev.bergamotwind.serving.catalogue

/** Size limits of callers' requests and timeouts of their connections. */
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)
