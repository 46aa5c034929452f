package dev.bergamotwind.node

import dev.bergamotwind.admission.AdmissionController
import dev.bergamotwind.admission.RateShareWorker
import dev.bergamotwind.admission.TeamDemand
import dev.bergamotwind.api.ArtifactReport
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.membership.PeerStatus
import dev.bergamotwind.membership.PeerView
import dev.bergamotwind.membership.TargetDigest
import dev.bergamotwind.membership.TeamRateDemand
import dev.bergamotwind.routing.TargetTable
import java.util.concurrent.TimeUnit

/** Applies the state published by peers to the components of this node. Not thread-safe. */
internal class PeerStateApplier(
    private val vm: VmId,
    private val appliedConfiguration: AppliedConfiguration,
    private val admission: AdmissionController,
    private val rateShares: RateShareWorker,
    private val targetTable: TargetTable,
    private val placementInputs: PlacementInputs,
    private val clock: Clock,
) {
    private val lastObservedNanos = HashMap<TargetId, Long>()

    /** Applies [view] as of [nowNanos]. */
    fun apply(view: PeerView, nowNanos: Long) {
        val peers = view.peers.filter { it.connected }
        view.freshnessNanos(appliedConfiguration.current.revision)?.let(appliedConfiguration::recordFreshness)
        applyReports(peers, nowNanos)
        applyDemand(peers)
        placementInputs.peerDemand = peers.flatMap { it.demand } + view.domains.flatMap { it.demand }
    }

    private fun applyReports(peers: List<PeerStatus>, nowNanos: Long) {
        for (digest in peers.flatMap { it.reports }) {
            if ((lastObservedNanos[digest.target] ?: Long.MIN_VALUE) >= digest.observedNanos) continue
            lastObservedNanos[digest.target] = digest.observedNanos
            targetTable.applyReport(toReport(digest, nowNanos))
        }
        lastObservedNanos.keys.retainAll(appliedConfiguration.current.targets.keys)
    }

    private fun toReport(digest: TargetDigest, nowNanos: Long) = EngineReport(
        target = digest.target,
        wallMillis = clock.wallMillis() - TimeUnit.NANOSECONDS.toMillis(nowNanos - digest.observedNanos),
        running = digest.running,
        queued = digest.queued,
        memory = appliedConfiguration.current.targets[digest.target]?.memory ?: Mebibytes(0),
        // A digest lists the loaded artifacts without their memory, which only the placement owner knows.
        artifacts = digest.loaded.map { ArtifactReport(it, ArtifactState.LOADED, Mebibytes(0)) },
        warmPrefixes = digest.warmPrefixes,
        leaving = digest.leaving,
    )

    private fun applyDemand(peers: List<PeerStatus>) {
        val own = admission.snapshot.rates.map {
            TeamDemand(it.team, vm, it.demandTokensPerSecond, it.largestRequest, it.unitsHeld)
        }
        val fleetDemand = own + peers.flatMap { peer -> peer.rateDemand.map { teamDemand(peer.id, it) } }
        admission.updateFleetDemand(fleetDemand)
        rateShares.updateDemand(fleetDemand)
    }

    private fun teamDemand(vm: VmId, demand: TeamRateDemand) = TeamDemand(
        demand.team,
        vm,
        demand.tokensPerSecond.toDouble(),
        demand.largestRequest,
        demand.unitsHeld,
    )
}
