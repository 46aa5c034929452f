package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies a route to a plain service. */
@Serializable
@JvmInline
public value class RouteId(public val value: String) : Comparable<RouteId> {
    override fun compareTo(other: RouteId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
