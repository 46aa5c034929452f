package dev.bergamotwind.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a VM in the platform's list. */
@Serializable
public enum class VirtualMachineState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
