package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId

/**
 * Rate of one team at this node. The token counters grow from the start of the process; [refusedTokens] of all nodes
 * sum up to what the fleet refused. [refusedInsideRate] counts requests refused while the last digests showed the
 * team's demand over the whole fleet within its rate.
 */
public data class RateSnapshot(
    val team: TeamId,
    val capacity: Double,
    val ratePerSecond: Double,
    val level: Double,
    val units: Int,
    val demandTokensPerSecond: Double,
    val largestRequest: Long,
    val offeredTokens: Long,
    val refusedTokens: Long,
    val refusedRequests: Long,
    val refusedInsideRate: Long,
)
