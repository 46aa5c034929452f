package dev.bergamotwind.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a node does with a team's keys while it cannot confirm that its configuration is fresh. */
@Serializable
public enum class UnconfirmedKeys {
    /** Goes on serving; a key revoked meanwhile works at this node until contact returns. */
    @SerialName("serve")
    SERVE,

    /** Refuses as not run; the team gets no service from a partitioned failure domain. */
    @SerialName("refuse")
    REFUSE,
}
