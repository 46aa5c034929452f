package dev.bergamotwind.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a claim record. */
@Serializable
internal enum class ClaimState {
    /** The holder is working on the call or died while doing so. */
    @SerialName("claimed")
    CLAIMED,

    /** The answer is recorded. */
    @SerialName("done")
    DONE,

    /** The holder knows that the outcome cannot be known. */
    @SerialName("unknown")
    UNKNOWN,
}
