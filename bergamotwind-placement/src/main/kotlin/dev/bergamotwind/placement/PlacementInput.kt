package dev.bergamotwind.placement

import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.configuration.OperatorConfiguration

/**
 * What a plan is made from. [reports] holds only fresh reports: a target without one is neither loaded nor relied on.
 * [startableLoads] is the number of model loads that the store's rate allows [domain]'s owner to start now; a null
 * [domain] plans for all targets.
 */
public data class PlacementInput(
    val configuration: OperatorConfiguration,
    val ledgers: Map<TargetId, MemoryLedger>,
    val reports: Map<TargetId, EngineReport>,
    val demand: DemandEstimate,
    val startableLoads: Int = Int.MAX_VALUE,
    val domain: FailureDomainId? = null,
    val settings: PlacementSettings = PlacementSettings(),
)
