package dev.bergamotwind.membership

import dev.bergamotwind.api.TeamId

/**
 * What one node needs of [team]'s rate: the tokens a second that callers ask for, the estimate of the largest recent
 * request, and the surplus units that the node holds.
 */
public data class RateDemand(val team: TeamId, val tokensPerSecond: Long, val largestRequest: Long, val unitsHeld: Int)
