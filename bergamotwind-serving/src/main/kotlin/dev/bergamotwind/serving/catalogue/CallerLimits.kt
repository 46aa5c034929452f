package dev.bergamotwind.serving.catalogue

/** What callers may send and how long they may stay idle. */
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)
