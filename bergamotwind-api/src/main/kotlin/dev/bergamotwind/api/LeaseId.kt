package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies a lease of the key-value service. */
@Serializable
@JvmInline
public value class LeaseId(public val value: Long) : Comparable<LeaseId> {
    override fun compareTo(other: LeaseId): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
