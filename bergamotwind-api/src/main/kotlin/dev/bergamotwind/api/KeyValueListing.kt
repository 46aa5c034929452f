package dev.bergamotwind.api

/** Records of a range as of [revision] of the key-value service. */
public data class KeyValueListing(val entries: List<KeyValueEntry>, val revision: Revision)
