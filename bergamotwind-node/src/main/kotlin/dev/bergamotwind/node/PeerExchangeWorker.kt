package dev.bergamotwind.node

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.core.Duty
import dev.bergamotwind.core.DutyHandler
import dev.bergamotwind.membership.Membership
import dev.bergamotwind.membership.TargetDigest
import dev.bergamotwind.routing.TargetTable

/** Exchanges state with peers at a fixed interval, and reads the VM list, from which the peers are known. */
internal class PeerExchangeWorker(
    private val membership: Membership,
    private val vmListReader: VirtualMachineListReader,
    private val responsibilities: NodeResponsibilities,
    private val peerState: PeerStateApplier,
    private val digestBuilder: LocalDigestBuilder,
    private val targetTable: TargetTable,
    private val clock: Clock,
) : DutyHandler<EngineReport>,
    AutoCloseable {
    private val workerThread = Duty("peers", this, PEER_EXCHANGE_INTERVAL)
    private val digestsByTarget = HashMap<TargetId, TargetDigest>()
    private var nextVmListReadNanos = clock.monotonicNanos()

    /** Starts the worker thread. */
    fun start(): PeerExchangeWorker = apply { workerThread.start() }

    /** Applies a report that this node has read itself, and queues it for publication to peers. */
    fun recordReport(report: EngineReport) {
        targetTable.applyReport(report)
        workerThread.send(report)
    }

    override fun handle(message: EngineReport) {
        digestsByTarget[message.target] = TargetDigest.of(message, clock.monotonicNanos())
    }

    override fun tick(nowNanos: Long) {
        if (nowNanos >= nextVmListReadNanos) {
            nextVmListReadNanos = nowNanos + VM_LIST_READ_INTERVAL.inWholeNanoseconds
            vmListReader.readOnce()
        }
        digestsByTarget.keys.retainAll(responsibilities.assignedTargets().toSet())
        peerState.apply(membership.view(), nowNanos)
        membership.publish(digestBuilder.build(digestsByTarget.values, nowNanos))
    }

    override fun close() {
        workerThread.close()
        membership.close()
    }
}
