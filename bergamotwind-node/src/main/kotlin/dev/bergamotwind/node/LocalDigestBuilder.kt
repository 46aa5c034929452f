package dev.bergamotwind.node

import dev.bergamotwind.admission.AdmissionController
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.membership.LocalDigest
import dev.bergamotwind.membership.TargetDigest
import dev.bergamotwind.membership.TeamRateDemand
import dev.bergamotwind.membership.TokenDemand
import kotlin.math.roundToLong

/** Builds the digest that this node publishes to its peers. */
internal class LocalDigestBuilder(
    private val appliedConfiguration: AppliedConfiguration,
    private val admission: AdmissionController,
    private val placementInputs: PlacementInputs,
    private val lifecycle: ProcessLifecycle,
) {
    /** Builds the digest as of [nowNanos], with the [reports] that this node has read. */
    fun build(reports: Collection<TargetDigest>, nowNanos: Long): LocalDigest {
        val age = appliedConfiguration.freshnessAge(nowNanos)
        return LocalDigest(
            revision = appliedConfiguration.current.revision,
            freshnessNanos = if (age.isInfinite()) null else nowNanos - age.inWholeNanoseconds,
            draining = !lifecycle.isAccepting,
            demand = ownDemand(),
            rateDemand = admission.snapshot.rates.map {
                TeamRateDemand(it.team, it.demandTokensPerSecond.roundToLong(), it.largestRequest, it.unitsHeld)
            },
            reports = reports.sortedBy { it.target },
        )
    }

    private fun ownDemand(): List<TokenDemand> {
        val estimate = placementInputs.ownDemand
        val adapters = appliedConfiguration.current.adapters
        return estimate.models.map { TokenDemand(it.key, null, it.value.roundToLong()) } +
            estimate.adapters.mapNotNull { (id, rate) ->
                adapters[id]?.let { TokenDemand(it.model, id, rate.roundToLong()) }
            }
    }
}
