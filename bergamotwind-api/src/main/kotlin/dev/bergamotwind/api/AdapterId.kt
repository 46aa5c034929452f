package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies an adapter of a model. */
@Serializable
@JvmInline
public value class AdapterId(public val value: String) : Comparable<AdapterId> {
    override fun compareTo(other: AdapterId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
