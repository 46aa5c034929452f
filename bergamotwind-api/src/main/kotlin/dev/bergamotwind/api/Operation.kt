package dev.bergamotwind.api

/** A change made by a [Transaction]. */
public sealed interface Operation {
    /** The record that is changed. */
    public val key: String

    /** Writes [value]; the record ends with [lease] if one is given. */
    public data class Put(override val key: String, val value: String, val lease: LeaseId? = null) : Operation

    /** Deletes the record if it exists. */
    public data class Delete(override val key: String) : Operation
}
