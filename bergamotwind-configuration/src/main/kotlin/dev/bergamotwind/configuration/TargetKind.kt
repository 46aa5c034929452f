package dev.bergamotwind.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of a target. */
@Serializable
public enum class TargetKind {
    /** A model engine. */
    @SerialName("engine")
    ENGINE,

    /** A replica of a plain service. */
    @SerialName("service")
    SERVICE,
}
