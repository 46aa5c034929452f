package dev.bergamotwind.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Which phases of a request an engine serves. */
@Serializable
public enum class EngineRole {
    @SerialName("prefill")
    PREFILL,

    @SerialName("decode")
    DECODE,

    @SerialName("both")
    BOTH,
}
