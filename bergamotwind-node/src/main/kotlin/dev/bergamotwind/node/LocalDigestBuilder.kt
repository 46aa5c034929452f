package dev.bergamotwind.node

import dev.bergamotwind.admission.AdmissionController
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.membership.Demand
import dev.bergamotwind.membership.LocalDigest
import dev.bergamotwind.membership.RateDemand
import dev.bergamotwind.membership.TargetDigest
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
            rates = admission.snapshot.rates.map {
                RateDemand(it.team, it.demandTokensPerSecond.roundToLong(), it.largestRequest, it.unitsHeld)
            },
            reports = reports.sortedBy { it.target },
        )
    }

    private fun ownDemand(): List<Demand> {
        val estimate = placementInputs.ownDemand
        val adapters = appliedConfiguration.current.adapters
        return estimate.models.map { Demand(it.key, null, it.value.roundToLong()) } +
            estimate.adapters.mapNotNull { (id, rate) ->
                adapters[id]?.let { Demand(it.model, id, rate.roundToLong()) }
            }
    }
}
