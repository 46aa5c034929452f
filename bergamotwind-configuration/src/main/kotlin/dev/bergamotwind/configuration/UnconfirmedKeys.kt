package dev.bergamotwind.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a node treats a team's keys while it cannot confirm that its configuration is up to date. */
@Serializable
public enum class UnconfirmedKeys {
    /** Continues to serve; a key revoked in the meantime works at this node until contact is restored. */
    @SerialName("serve")
    SERVE,

    /** Rejects requests as not run; the team gets no service from a partitioned failure domain. */
    @SerialName("refuse")
    REFUSE,
}
