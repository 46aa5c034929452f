package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId

/**
 * Demand of [team] at [vm] as digests carry it: the tokens per second that callers asked for, admitted or not, the
 * estimate of the largest recent request, and the surplus units that the node holds for the team.
 */
public data class TeamDemand(
    val team: TeamId,
    val vm: VmId,
    val tokensPerSecond: Double,
    val largestRequest: Long,
    val unitsHeld: Int,
)
