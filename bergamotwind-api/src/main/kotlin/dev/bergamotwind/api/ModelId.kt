package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies a model, as callers name it in a request. */
@Serializable
@JvmInline
public value class ModelId(public val value: String) : Comparable<ModelId> {
    override fun compareTo(other: ModelId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
