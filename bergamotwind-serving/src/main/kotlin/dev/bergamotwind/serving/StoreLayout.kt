package dev.bergamotwind.serving

/** Where the platform's store keeps what an entry VM follows. */
public data class StoreLayout(
    /** Beginning of all keys that are followed. */
    val followedPrefix: String,
    /** Key of the operators' configuration. */
    val configurationKey: String,
    /** Beginning of the keys of targets. */
    val targetsPrefix: String,
)
