package dev.bergamotwind.admission

import arrow.core.Either
import arrow.core.left
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.SystemClock
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.core.Duty
import dev.bergamotwind.core.DutyHandler
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/**
 * The admission duty of a node. Safe from any thread. New requests pass through a bounded ring and are refused when it
 * is full. Settlements and cancellations never are, since a lost one would leak a place; there is at most one of each
 * for every request that was taken.
 */
public class Admission(
    configuration: OperatorConfiguration,
    private val monitor: InvariantMonitor,
    private val clock: Clock = SystemClock,
    queueCapacity: Int = DEFAULT_QUEUE_CAPACITY,
    concurrencyLimit: Int = DEFAULT_CONCURRENCY_LIMIT,
) : AutoCloseable {
    private val shares = RateShares(configuration, clock, monitor)
    private val state =
        AdmissionState(configuration, shares, clock, queueCapacity, concurrencyLimit, ::enqueueSettlement)
    private val handler = Handler()
    private val duty = Duty("admission", handler, ADMISSION_TICK_INTERVAL)
    private val urgent = ConcurrentLinkedQueue<() -> Unit>()

    /** The last published state; at most [SNAPSHOT_INTERVAL] and one tick old. */
    @Volatile
    public var snapshot: AdmissionSnapshot = state.snapshot()
        private set

    /** Leads a [RateShareLedger] on another thread to the buckets of this duty. */
    public val rateShareHolder: RateShareHolder = DutyHolder()

    /** Starts the thread and returns this. */
    public fun start(): Admission = apply { duty.start() }

    /**
     * Submits [request]. [onDecision] gets the decision once, on the admission thread or, when the ring is full, on
     * this one; it must not block. After [cancel] it may still get an admission that was under way, which the caller
     * settles with 0.
     */
    public fun submit(request: AdmissionRequest, onDecision: (Either<Failure, Admitted>) -> Unit) {
        duty.send(AdmissionMessage.Submit(request, onDecision)).onLeft { onDecision(it.left()) }
    }

    /** Takes the request out of the queue if it waits there; no decision is delivered for it then. */
    public fun cancel(requestId: RequestId) {
        enqueueUrgent { state.cancel(requestId) }
    }

    /** Follows an applied configuration; refused when the ring is full, so the caller repeats it. */
    public fun applyConfiguration(configuration: OperatorConfiguration): Either<Failure, Unit> =
        duty.send(AdmissionMessage.ApplyConfiguration(configuration))

    /** Changes the number of requests that may run at the same time. */
    public fun limitConcurrency(limit: Int): Either<Failure, Unit> = duty.send(AdmissionMessage.LimitConcurrency(limit))

    /** Notes the demand at all nodes as digests show it. */
    public fun noteFleetDemand(demand: List<TeamDemand>): Either<Failure, Unit> =
        duty.send(AdmissionMessage.NoteFleetDemand(demand))

    override fun close() {
        duty.close()
    }

    private fun enqueueSettlement(admitted: Admitted, actualTokens: Long) {
        enqueueUrgent { state.settle(admitted, actualTokens) }
    }

    private fun enqueueUrgent(work: () -> Unit) {
        urgent.add(work)
        // When the ring is full the duty is awake anyway and looks at the urgent work after its next message.
        duty.send(AdmissionMessage.Wake)
    }

    private inner class Handler : DutyHandler<AdmissionMessage> {
        private var nextSnapshotNanos = Long.MIN_VALUE

        override fun handle(message: AdmissionMessage) {
            drain()
            when (message) {
                is AdmissionMessage.Submit -> state.submit(message.request, message.onDecision)
                is AdmissionMessage.ApplyConfiguration -> state.applyConfiguration(message.configuration)
                is AdmissionMessage.LimitConcurrency -> state.limitConcurrency(message.limit)
                is AdmissionMessage.NoteFleetDemand -> shares.noteFleetDemand(message.demand)
                is AdmissionMessage.ChangeShares<*> -> change(message)
                AdmissionMessage.Wake -> Unit
            }
        }

        override fun tick(nowNanos: Long) {
            drain()
            state.tick()
            if (nowNanos < nextSnapshotNanos) return
            nextSnapshotNanos = nowNanos + SNAPSHOT_INTERVAL.inWholeNanoseconds
            snapshot = state.snapshot()
        }

        private fun <T> change(message: AdmissionMessage.ChangeShares<T>) {
            message.done.complete(message.change(shares))
        }

        private fun drain() {
            while (true) (urgent.poll() ?: return).invoke()
        }
    }

    private inner class DutyHolder : RateShareHolder {
        override fun holdSlot(divisor: Int) = change { it.holdSlot(divisor) }

        override fun extendUnits(lease: LeaseId, cutoffNanos: Long) = change { it.extendUnits(lease, cutoffNanos) }

        override fun addUnits(lease: LeaseId, team: TeamId, units: List<RateUnit>) =
            change { it.addUnits(lease, team, units) }

        override fun loseUnits() = change { it.loseUnits() }

        override fun releaseUnits(team: TeamId, count: Int) = change { it.releaseUnits(team, count) }

        // Fails loudly when the duty does not take the change: going on could give a share away that is still in use.
        private fun <T> change(action: (RateShares) -> T): T {
            val done = CompletableFuture<T>()
            duty.send(AdmissionMessage.ChangeShares(action, done)).onLeft { error(it.message) }
            return done.get(ADMISSION_ANSWER_LIMIT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }
}
