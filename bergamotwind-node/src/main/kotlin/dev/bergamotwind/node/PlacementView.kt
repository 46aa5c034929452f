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
import dev.bergamotwind.membership.TokenDemand
import dev.bergamotwind.placement.DemandEstimate
import dev.bergamotwind.placement.PlacementDataSource
import dev.bergamotwind.routing.TargetTable

/** What placement plans from at this node: fresh reports of its own failure domain and known ones of the others. */
internal class PlacementView(
    private val applied: AppliedConfiguration,
    private val table: TargetTable,
    private val control: EngineControl,
    private val failureDomain: FailureDomainId,
) : PlacementDataSource {
    /** Demand at this node; set by the placement duty. */
    @Volatile
    var ownDemand: DemandEstimate = DemandEstimate()

    /** Demand at other nodes and in other failure domains; set by the peer duty. */
    @Volatile
    var peerDemand: List<TokenDemand> = emptyList()

    override fun configuration(): OperatorConfiguration = applied.current

    override fun demand(): DemandEstimate {
        val (models, adapters) = peerDemand.partition { it.adapter == null }
        return DemandEstimate(
            summed(ownDemand.models, models.groupBy { it.model }),
            summed(ownDemand.adapters, adapters.groupBy { it.adapter!! }),
        )
    }

    private fun <K> summed(own: Map<K, Double>, others: Map<K, List<TokenDemand>>): Map<K, Double> =
        (own.keys + others.keys).associateWith { key ->
            (own[key] ?: 0.0) + others[key].orEmpty().sumOf { it.tokensPerSecond }
        }

    override fun report(target: TargetId): Either<Failure, EngineReport> =
        if (applied.current.targets[target]?.failureDomain == failureDomain) {
            control.report(target)
        } else {
            table.latestReport(target)?.right()
                ?: Failure.Unavailable("no report of target $target has arrived").left()
        }
}
