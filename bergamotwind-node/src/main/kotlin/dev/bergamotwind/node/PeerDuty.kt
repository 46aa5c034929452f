package dev.bergamotwind.node

import dev.bergamotwind.admission.Admission
import dev.bergamotwind.admission.RateShareDuty
import dev.bergamotwind.admission.TeamDemand
import dev.bergamotwind.api.ArtifactReport
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VirtualMachineList
import dev.bergamotwind.api.VirtualMachineState
import dev.bergamotwind.api.VmId
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.configuration.NodeSettings
import dev.bergamotwind.core.Duty
import dev.bergamotwind.core.DutyHandler
import dev.bergamotwind.membership.Demand
import dev.bergamotwind.membership.LocalDigest
import dev.bergamotwind.membership.Membership
import dev.bergamotwind.membership.PeerAddress
import dev.bergamotwind.membership.PeerStatus
import dev.bergamotwind.membership.RateDemand
import dev.bergamotwind.membership.TargetDigest
import dev.bergamotwind.routing.LeavingSignal
import dev.bergamotwind.routing.TargetTable
import java.util.concurrent.TimeUnit
import kotlin.math.roundToLong

/** Tells peers about this node and hands what they tell to the parts that use it. Also reads the VM list. */
internal class PeerDuty(
    private val settings: NodeSettings,
    private val membership: Membership,
    private val machines: VirtualMachineList,
    private val fleet: FleetView,
    private val applied: AppliedConfiguration,
    private val admission: Admission,
    private val rateShares: RateShareDuty,
    private val table: TargetTable,
    private val placement: PlacementView,
    private val life: ProcessLife,
    private val clock: Clock,
) : DutyHandler<EngineReport>,
    AutoCloseable {
    private val duty = Duty("peers", this, PEER_INTERVAL)
    private val ownReports = HashMap<TargetId, TargetDigest>()
    private val seenNanos = HashMap<TargetId, Long>()
    private var nextListNanos = clock.monotonicNanos()

    /** Starts exchanging. */
    fun start(): PeerDuty = apply { duty.start() }

    /** Takes a report that this node has read itself. */
    fun reported(report: EngineReport) {
        table.reported(report)
        duty.send(report)
    }

    override fun handle(message: EngineReport) {
        ownReports[message.target] = TargetDigest.of(message, clock.monotonicNanos())
    }

    override fun tick(nowNanos: Long) {
        if (nowNanos >= nextListNanos) readMachines(nowNanos)
        ownReports.keys.retainAll(fleet.ownTargets().toSet())
        val peers = fleet.connectedPeers()
        membership.view().freshness(applied.current.revision)?.let(applied::confirmedFresh)
        takeReports(peers, nowNanos)
        takeDemand(peers)
        membership.publish(digest(nowNanos))
    }

    override fun close() {
        duty.close()
        membership.close()
    }

    private fun readMachines(nowNanos: Long) {
        nextListNanos = nowNanos + VM_LIST_INTERVAL.inWholeNanoseconds
        machines.read().onRight { listed ->
            fleet.machines = listed
            val port = settings.listen.peerPort
            val others = listed.filter { it.id != settings.vm && it.address !in settings.listen.addresses }
                .map { PeerAddress("${it.address}:$port", it.failureDomain) }
            val named = settings.peers.map { PeerAddress(it.toString(), settings.failureDomain) }
            membership.peers((others + named).distinctBy { it.address })
            val leaving = listed.filter { it.state == VirtualMachineState.LEAVING }.map { it.address }.toSet()
            for (target in applied.current.targets.values) {
                table.signal(target.id, LeavingSignal.VM_LIST, target.address.substringBeforeLast(':') in leaving)
            }
        }
    }

    private fun takeReports(peers: List<PeerStatus>, nowNanos: Long) {
        for (digest in peers.flatMap { it.reports }) {
            if ((seenNanos[digest.target] ?: Long.MIN_VALUE) >= digest.observedNanos) continue
            seenNanos[digest.target] = digest.observedNanos
            table.reported(toReport(digest, nowNanos))
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
            TeamDemand(it.team, settings.vm, it.demandTokensPerSecond, it.largestRequest, it.units)
        }
        val fleetDemand = own + peers.flatMap { peer -> peer.rates.map { teamDemand(peer.id, it) } }
        admission.noteFleetDemand(fleetDemand)
        rateShares.noteDemand(fleetDemand)
        placement.peerDemand = peers.flatMap { it.demand } + membership.view().domains.flatMap { it.demand }
    }

    private fun teamDemand(vm: VmId, demand: RateDemand) = TeamDemand(
        demand.team,
        vm,
        demand.tokensPerSecond.toDouble(),
        demand.largestRequest,
        demand.unitsHeld,
    )

    private fun digest(nowNanos: Long): LocalDigest {
        val age = applied.freshnessAge(nowNanos)
        return LocalDigest(
            revision = applied.current.revision,
            freshnessNanos = if (age.isInfinite()) null else nowNanos - age.inWholeNanoseconds,
            draining = !life.isAccepting,
            demand = ownDemand(),
            rates = admission.snapshot.rates.map {
                RateDemand(it.team, it.demandTokensPerSecond.roundToLong(), it.largestRequest, it.units)
            },
            reports = ownReports.values.sortedBy { it.target },
        )
    }

    private fun ownDemand(): List<Demand> {
        val estimate = placement.ownDemand
        val adapters = applied.current.adapters
        return estimate.models.map { Demand(it.key, null, it.value.roundToLong()) } +
            estimate.adapters.mapNotNull { (id, rate) ->
                adapters[id]?.let { Demand(it.model, id, rate.roundToLong()) }
            }
    }
}
