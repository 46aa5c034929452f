package dev.bergamotwind.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a claim record. */
@Serializable
internal enum class ClaimState {
    /** The holder is executing the call or has died while doing so. */
    @SerialName("claimed")
    CLAIMED,

    /** The answer is recorded. */
    @SerialName("done")
    DONE,

    /** The holder could not determine the outcome of the call. */
    @SerialName("unknown")
    UNKNOWN,
}
