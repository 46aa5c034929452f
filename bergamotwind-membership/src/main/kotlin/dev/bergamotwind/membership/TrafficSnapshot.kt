package dev.bergamotwind.membership

/** Traffic with peers since the start. Bytes are those of frames, length prefixes included, without TCP/IP headers. */
public data class TrafficSnapshot(
    val sentBytes: Long,
    val sentFrames: Long,
    val receivedBytes: Long,
    val receivedFrames: Long,
)
