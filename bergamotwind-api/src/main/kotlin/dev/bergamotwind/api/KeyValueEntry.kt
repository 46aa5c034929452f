package dev.bergamotwind.api

/** One record of the key-value service. */
public data class KeyValueEntry(
    val key: String,
    val value: String,
    val createRevision: Revision,
    val modificationRevision: Revision,
    val lease: LeaseId? = null,
)
