package dev.bergamotwind.api

/**
 * Selects records whose key starts with [prefix] and is not below [from], in key order.
 * A [limit] of 0 selects all; [newestFirst] reverses the key order.
 */
public data class KeyRange(
    val prefix: String,
    val from: String = prefix,
    val limit: Int = 0,
    val newestFirst: Boolean = false,
)
