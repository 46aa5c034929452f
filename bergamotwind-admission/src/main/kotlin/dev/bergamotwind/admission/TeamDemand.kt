package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId

/**
 * Demand of [team] at [vm], as reported in digests: the tokens per second that callers requested, whether admitted or
 * not, the estimated tokens of the largest recent request, and the number of surplus units that the node holds for the
 * team.
 */
public data class TeamDemand(
    val team: TeamId,
    val vm: VmId,
    val tokensPerSecond: Double,
    val largestRequest: Long,
    val unitsHeld: Int,
)
