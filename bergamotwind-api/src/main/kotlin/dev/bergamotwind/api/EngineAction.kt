package dev.bergamotwind.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an order asks of an engine. */
@Serializable
public enum class EngineAction {
    @SerialName("load")
    LOAD,

    @SerialName("unload")
    UNLOAD,

    @SerialName("change_role")
    CHANGE_ROLE,
}
