package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies one configuration change; unique even when the change is submitted twice. */
@Serializable
@JvmInline
public value class ChangeId(public val value: String) : Comparable<ChangeId> {
    override fun compareTo(other: ChangeId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
