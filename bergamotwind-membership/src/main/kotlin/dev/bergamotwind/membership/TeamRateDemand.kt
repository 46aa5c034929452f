package dev.bergamotwind.membership

import dev.bergamotwind.api.TeamId

/**
 * One node's demand on the rate of [team]: the tokens a second that callers request, the estimate of the largest
 * recent request, and the surplus units that the node holds.
 */
public data class TeamRateDemand(
    val team: TeamId,
    val tokensPerSecond: Long,
    val largestRequest: Long,
    val unitsHeld: Int,
)
