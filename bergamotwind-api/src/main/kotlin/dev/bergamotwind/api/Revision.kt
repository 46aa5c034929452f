package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Revision of the operator configuration or of the key-value service; grows by time. */
@Serializable
@JvmInline
public value class Revision(public val value: Long) : Comparable<Revision> {
    /** Returns the revision that follows this one. */
    public fun next(): Revision = Revision(value + 1)

    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
