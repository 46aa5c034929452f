package dev.bergamotwind.transport

/** What a caller may send and how long a connection may stay silent. */
public data class ListenerLimits(
    /** Bytes of a request's headers. */
    val headerBytes: Int = 16_384,
    /** Bytes of a request's body. */
    val bodyBytes: Int = 4_194_304,
    /** Milliseconds from the first byte of a request to the end of its headers. */
    val headerTimeoutMillis: Long = 3_000,
    /** Milliseconds that a connection without a request stays open. */
    val idleTimeoutMillis: Long = 15_000,
)
