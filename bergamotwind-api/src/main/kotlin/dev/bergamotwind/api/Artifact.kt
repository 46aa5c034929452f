package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** What an engine can hold in accelerator memory: a version of a model, or an adapter of it. */
@Serializable
public data class Artifact(val model: ModelId, val version: String, val adapter: AdapterId? = null) {
    override fun toString(): String = if (adapter == null) "$model@$version" else "$model@$version+$adapter"
}
