package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies an entry VM on which a node runs. */
@Serializable
@JvmInline
public value class VmId(public val value: String) : Comparable<VmId> {
    override fun compareTo(other: VmId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
