package dev.bergamotwind.configuration

/** IP [addresses] and ports that a node listens on. Port 0 selects a free port. */
public data class ListenSettings(
    val addresses: List<String>,
    val callerPort: Int,
    val administrationPort: Int,
    val peerPort: Int,
)
