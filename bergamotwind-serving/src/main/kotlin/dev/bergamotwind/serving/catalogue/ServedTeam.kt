package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.TeamId

/** A team, its keys and its rate over all VMs. */
public data class ServedTeam(
    val id: TeamId,
    val keys: Set<String>,
    /** Rank that goes before the one of the route, or null. */
    val priority: Int?,
    /** Units a second; 0 is unlimited. */
    val ratePerSecond: Double,
    /** Units that may be used at once after a quiet time. */
    val burst: Double,
    /** True when the unit is a token, false when it is a request. */
    val countsTokens: Boolean,
    /** Units of a request that states no tokens. */
    val plainRequestUnits: Double,
)
