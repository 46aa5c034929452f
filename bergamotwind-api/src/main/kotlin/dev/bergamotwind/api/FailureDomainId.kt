package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies a failure domain. */
@Serializable
@JvmInline
public value class FailureDomainId(public val value: String) : Comparable<FailureDomainId> {
    override fun compareTo(other: FailureDomainId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
