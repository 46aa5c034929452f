package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies a service: a group of targets that answer the same routes. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) : Comparable<ServiceId> {
    override fun compareTo(other: ServiceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
