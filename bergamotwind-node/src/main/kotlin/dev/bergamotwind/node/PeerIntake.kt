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

/** Hands what peers tell to the parts that use it. For one thread. */
internal class PeerIntake(
    private val vm: VmId,
    private val applied: AppliedConfiguration,
    private val admission: AdmissionController,
    private val rateShares: RateShareWorker,
    private val table: TargetTable,
    private val placement: PlacementView,
    private val clock: Clock,
) {
    private val seenNanos = HashMap<TargetId, Long>()

    /** Takes over [view] as of [nowNanos]. */
    fun take(view: PeerView, nowNanos: Long) {
        val peers = view.peers.filter { it.connected }
        view.freshnessNanos(applied.current.revision)?.let(applied::recordFreshness)
        takeReports(peers, nowNanos)
        takeDemand(peers)
        placement.peerDemand = peers.flatMap { it.demand } + view.domains.flatMap { it.demand }
    }

    private fun takeReports(peers: List<PeerStatus>, nowNanos: Long) {
        for (digest in peers.flatMap { it.reports }) {
            if ((seenNanos[digest.target] ?: Long.MIN_VALUE) >= digest.observedNanos) continue
            seenNanos[digest.target] = digest.observedNanos
            table.applyReport(toReport(digest, nowNanos))
        }
        seenNanos.keys.retainAll(applied.current.targets.keys)
    }

    private fun toReport(digest: TargetDigest, nowNanos: Long) = EngineReport(
        target = digest.target,
        wallMillis = clock.wallMillis() - TimeUnit.NANOSECONDS.toMillis(nowNanos - digest.observedNanos),
        running = digest.running,
        queued = digest.queued,
        memory = applied.current.targets[digest.target]?.memory ?: Mebibytes(0),
        // Digests name what is loaded; its memory is known to the owner of placement only.
        artifacts = digest.loaded.map { ArtifactReport(it, ArtifactState.LOADED, Mebibytes(0)) },
        warmPrefixes = digest.warmPrefixes,
        leaving = digest.leaving,
    )

    private fun takeDemand(peers: List<PeerStatus>) {
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
