package dev.bergamotwind.node

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.core.Duty
import dev.bergamotwind.core.DutyHandler
import dev.bergamotwind.membership.Membership
import dev.bergamotwind.membership.TargetDigest
import dev.bergamotwind.routing.TargetTable

/** Exchanges state with peers, and reads the VM list, which says who they are. */
internal class PeerDuty(
    private val membership: Membership,
    private val machines: MachineListReader,
    private val fleet: FleetView,
    private val intake: PeerIntake,
    private val digests: DigestSource,
    private val table: TargetTable,
    private val clock: Clock,
) : DutyHandler<EngineReport>,
    AutoCloseable {
    private val duty = Duty("peers", this, PEER_INTERVAL)
    private val ownReports = HashMap<TargetId, TargetDigest>()
    private var nextListNanos = clock.monotonicNanos()

    /** Starts exchanging. */
    fun start(): PeerDuty = apply { duty.start() }

    /** Takes a report that this node has read itself. */
    fun reported(report: EngineReport) {
        table.applyReport(report)
        duty.send(report)
    }

    override fun handle(message: EngineReport) {
        ownReports[message.target] = TargetDigest.of(message, clock.monotonicNanos())
    }

    override fun tick(nowNanos: Long) {
        if (nowNanos >= nextListNanos) {
            nextListNanos = nowNanos + VM_LIST_INTERVAL.inWholeNanoseconds
            machines.read()
        }
        ownReports.keys.retainAll(fleet.ownTargets().toSet())
        intake.take(membership.view(), nowNanos)
        membership.publish(digests.digest(ownReports.values, nowNanos))
    }

    override fun close() {
        duty.close()
        membership.close()
    }
}
