package dev.bergamotwind.serving

/** Keys of the items in the platform's store that an entry VM watches. */
public data class StoreLayout(
    /** Prefix of all watched keys. */
    val watchedPrefix: String,
    /** Key of the operators' configuration. */
    val configurationKey: String,
    /** Prefix of the keys of targets. */
    val targetsPrefix: String,
)
