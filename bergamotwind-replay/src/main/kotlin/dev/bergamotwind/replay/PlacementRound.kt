package dev.bergamotwind.replay

import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.placement.DemandEstimate

/**
 * Input of one step of a [PlacementStrategy]. [reports] are those received; engines in [unreachable] domains get no
 * orders. [offered] is the demand of the last interval, and [smoothed] that of the production estimator.
 */
internal class PlacementRound(
    val engines: Map<TargetId, VirtualEngine>,
    val reports: Map<TargetId, EngineReport>,
    val unreachable: Set<FailureDomainId>,
    val offered: DemandEstimate,
    val smoothed: DemandEstimate,
)
