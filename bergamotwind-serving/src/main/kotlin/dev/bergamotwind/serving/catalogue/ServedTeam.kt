package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.TeamId

/** A team with its keys and its rate limit over all VMs. */
public data class ServedTeam(
    val id: TeamId,
    val keys: Set<String>,
    /** Priority that takes precedence over the route's, or null. */
    val priority: Int?,
    /** Units per second; 0 is unlimited. */
    val ratePerSecond: Double,
    /** Units that may be used at once after an idle period. */
    val burst: Double,
    /** True when the unit is a token, false when it is a request. */
    val countsTokens: Boolean,
    /** Units charged for a request that states no tokens. */
    val plainRequestUnits: Double,
)
