package dev.bergamotwind.placement

import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.configuration.OperatorConfiguration

/**
 * Input of [PlacementPlanner]. [reports] holds only reports that are not stale: a target without one gets no copies,
 * and its copies do not count as available. [startableLoads] is the number of model loads that the rate of the weight
 * store allows the owner of [ownedDomain] to start now; with a null [ownedDomain] the plan covers all targets.
 */
public data class PlacementInput(
    val configuration: OperatorConfiguration,
    val ledgers: Map<TargetId, MemoryLedger>,
    val reports: Map<TargetId, EngineReport>,
    val demand: DemandEstimate,
    val startableLoads: Int = Int.MAX_VALUE,
    val ownedDomain: FailureDomainId? = null,
    val settings: PlacementSettings = PlacementSettings(),
)
