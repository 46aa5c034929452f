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

/** Inputs of placement at this node: fresh reports of its own failure domain and the latest known ones of others. */
internal class PlacementInputs(
    private val appliedConfiguration: AppliedConfiguration,
    private val targetTable: TargetTable,
    private val engineControl: EngineControl,
    private val failureDomain: FailureDomainId,
) : PlacementDataSource {
    /** Demand at this node; set by [PlacementWorker]. */
    @Volatile
    var ownDemand: DemandEstimate = DemandEstimate()

    /** Demand at other nodes and in other failure domains; set by [PeerExchangeWorker]. */
    @Volatile
    var peerDemand: List<TokenDemand> = emptyList()

    override fun configuration(): OperatorConfiguration = appliedConfiguration.current

    override fun demand(): DemandEstimate {
        val (models, adapters) = peerDemand.partition { it.adapter == null }
        return DemandEstimate(
            sumDemand(ownDemand.models, models.groupBy { it.model }),
            sumDemand(ownDemand.adapters, adapters.groupBy { it.adapter!! }),
        )
    }

    private fun <K> sumDemand(own: Map<K, Double>, others: Map<K, List<TokenDemand>>): Map<K, Double> =
        (own.keys + others.keys).associateWith { key ->
            (own[key] ?: 0.0) + others[key].orEmpty().sumOf { it.tokensPerSecond }
        }

    override fun report(target: TargetId): Either<Failure, EngineReport> =
        if (appliedConfiguration.current.targets[target]?.failureDomain == failureDomain) {
            engineControl.report(target)
        } else {
            targetTable.latestReport(target)?.right()
                ?: Failure.Unavailable("no report of target $target has arrived").left()
        }
}
