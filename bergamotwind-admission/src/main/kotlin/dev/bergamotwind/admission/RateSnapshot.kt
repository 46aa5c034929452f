package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId

/**
 * State of one team's rate limit at this node. The token counters are cumulative since the start of the process; the
 * [refusedTokens] of all nodes sum to what the fleet refused. [refusedInsideRate] counts requests that were refused
 * although the last digests showed the team's demand over the whole fleet to be within its rate.
 */
public data class RateSnapshot(
    val team: TeamId,
    val capacity: Double,
    val ratePerSecond: Double,
    val level: Double,
    val unitsHeld: Int,
    val demandTokensPerSecond: Double,
    val largestRequest: Long,
    val offeredTokens: Long,
    val refusedTokens: Long,
    val refusedRequests: Long,
    val refusedInsideRate: Long,
)
