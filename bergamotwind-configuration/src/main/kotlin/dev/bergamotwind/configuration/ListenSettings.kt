package dev.bergamotwind.configuration

/** The [addresses] (IP) and ports a node listens on. Port 0 takes a free one. */
public data class ListenSettings(
    val addresses: List<String>,
    val callerPort: Int,
    val administrationPort: Int,
    val peerPort: Int,
)
