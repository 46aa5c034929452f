package dev.bergamotwind.node

import dev.bergamotwind.admission.AdmissionController
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.membership.LocalDigest
import dev.bergamotwind.membership.TargetDigest
import dev.bergamotwind.membership.TeamRateDemand
import dev.bergamotwind.membership.TokenDemand
import kotlin.math.roundToLong

/** Builds what this node tells its peers. */
internal class DigestSource(
    private val applied: AppliedConfiguration,
    private val admission: AdmissionController,
    private val placement: PlacementView,
    private val life: ProcessLife,
) {
    /** The digest as of [nowNanos], with the [reports] that this node has read. */
    fun digest(reports: Collection<TargetDigest>, nowNanos: Long): LocalDigest {
        val age = applied.freshnessAge(nowNanos)
        return LocalDigest(
            revision = applied.current.revision,
            freshnessNanos = if (age.isInfinite()) null else nowNanos - age.inWholeNanoseconds,
            draining = !life.isAccepting,
            demand = ownDemand(),
            rateDemand = admission.snapshot.rates.map {
                TeamRateDemand(it.team, it.demandTokensPerSecond.roundToLong(), it.largestRequest, it.unitsHeld)
            },
            reports = reports.sortedBy { it.target },
        )
    }

    private fun ownDemand(): List<TokenDemand> {
        val estimate = placement.ownDemand
        val adapters = applied.current.adapters
        return estimate.models.map { TokenDemand(it.key, null, it.value.roundToLong()) } +
            estimate.adapters.mapNotNull { (id, rate) ->
                adapters[id]?.let { TokenDemand(it.model, id, rate.roundToLong()) }
            }
    }
}
