package dev.bergamotwind.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of an artifact as an engine reports it. */
@Serializable
public enum class ArtifactState {
    @SerialName("loading")
    LOADING,

    @SerialName("loaded")
    LOADED,

    @SerialName("unloading")
    UNLOADING,
}
