package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies a target: a model engine or a replica of a plain service. */
@Serializable
@JvmInline
public value class TargetId(public val value: String) : Comparable<TargetId> {
    override fun compareTo(other: TargetId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
