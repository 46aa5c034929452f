package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.EngineControl
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.placement.DemandEstimate
import dev.bergamotwind.placement.PlacementSources
import dev.bergamotwind.routing.TargetTable

/** What placement plans from at this node: fresh reports of its own failure domain and known ones of the others. */
internal class PlacementView(
    private val applied: AppliedConfiguration,
    private val table: TargetTable,
    private val control: EngineControl,
    private val failureDomain: FailureDomainId,
) : PlacementSources {
    /** Demand of the whole fleet; set by the placement duty. */
    @Volatile
    var demand: DemandEstimate = DemandEstimate()

    override fun configuration(): OperatorConfiguration = applied.current

    override fun demand(): DemandEstimate = demand

    override fun report(target: TargetId): Either<Failure, EngineReport> =
        if (applied.current.targets[target]?.failureDomain == failureDomain) {
            control.report(target)
        } else {
            table.status().firstOrNull { it.target.id == target }?.report?.right()
                ?: Failure.Unavailable("no report of target $target has arrived").left()
        }
}
