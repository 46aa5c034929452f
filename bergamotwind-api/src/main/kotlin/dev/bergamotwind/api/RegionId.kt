package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies a region, which holds one or more failure domains. */
@Serializable
@JvmInline
public value class RegionId(public val value: String) : Comparable<RegionId> {
    override fun compareTo(other: RegionId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
