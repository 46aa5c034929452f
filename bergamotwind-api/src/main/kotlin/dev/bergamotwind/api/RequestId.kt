package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies one request of a caller over all nodes. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) : Comparable<RequestId> {
    override fun compareTo(other: RequestId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
