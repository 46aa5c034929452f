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
 * Admission control of a node: runs [AdmissionState] on a thread of its own. Thread-safe. New requests pass through a
 * bounded message queue and are refused when it is full. Settlements and cancellations bypass that queue, since a lost
 * one would leak a concurrency permit; their number stays bounded because every accepted request causes at most one of
 * each.
 */
public class AdmissionController(
    configuration: OperatorConfiguration,
    private val monitor: InvariantMonitor,
    private val clock: Clock = SystemClock,
    queueCapacity: Int = DEFAULT_QUEUE_CAPACITY,
    concurrencyLimit: Int = DEFAULT_CONCURRENCY_LIMIT,
) : AutoCloseable {
    private val rateLimiter = TeamRateLimiter(configuration, clock, monitor)
    private val state =
        AdmissionState(configuration, rateLimiter, clock, queueCapacity, concurrencyLimit, ::enqueueSettlement)
    private val messageHandler = MessageHandler()
    private val admissionThread = Duty("admission", messageHandler, ADMISSION_TICK_INTERVAL)
    private val priorityTasks = ConcurrentLinkedQueue<() -> Unit>()

    /** The last published snapshot, at most [SNAPSHOT_INTERVAL] plus one tick old. */
    @Volatile
    public var snapshot: AdmissionSnapshot = state.snapshot()
        private set

    /** Lets a [RateShareCoordinator] on another thread change the token buckets, which the admission thread owns. */
    public val rateShareBuckets: RateShareBuckets = CrossThreadRateShareBuckets()

    /** Starts the admission thread and returns this. */
    public fun start(): AdmissionController = apply { admissionThread.start() }

    /**
     * Submits [request]. [onDecision] is called once with the decision, on the admission thread or, when the message
     * queue is full, on the calling thread; it must not block. After [cancel] it may still receive an admission that
     * was already in progress, which the caller must settle with 0 tokens.
     */
    public fun submit(request: AdmissionRequest, onDecision: (Either<Failure, AdmittedRequest>) -> Unit) {
        admissionThread.send(AdmissionMessage.Submit(request, onDecision)).onLeft { onDecision(it.left()) }
    }

    /** Removes the request if it is still queued; no decision is delivered for it then. */
    public fun cancel(requestId: RequestId) {
        enqueuePriorityTask { state.cancel(requestId) }
    }

    /** Switches to [configuration]. Fails when the message queue is full; the caller has to retry. */
    public fun applyConfiguration(configuration: OperatorConfiguration): Either<Failure, Unit> =
        admissionThread.send(AdmissionMessage.ApplyConfiguration(configuration))

    /** Changes the number of requests that may run concurrently. */
    public fun setConcurrencyLimit(limit: Int): Either<Failure, Unit> =
        admissionThread.send(AdmissionMessage.SetConcurrencyLimit(limit))

    /** Updates the demand of all nodes, as reported in their digests. */
    public fun updateFleetDemand(demand: List<TeamDemand>): Either<Failure, Unit> =
        admissionThread.send(AdmissionMessage.UpdateFleetDemand(demand))

    override fun close() {
        admissionThread.close()
    }

    private fun enqueueSettlement(admitted: AdmittedRequest, actualTokens: Long) {
        enqueuePriorityTask { state.settle(admitted, actualTokens) }
    }

    private fun enqueuePriorityTask(task: () -> Unit) {
        priorityTasks.add(task)
        // When the message queue is full the thread is awake anyway and runs priority tasks with its next message.
        admissionThread.send(AdmissionMessage.Wake)
    }

    private inner class MessageHandler : DutyHandler<AdmissionMessage> {
        private var nextSnapshotNanos = Long.MIN_VALUE

        override fun handle(message: AdmissionMessage) {
            runPriorityTasks()
            when (message) {
                is AdmissionMessage.Submit -> state.submit(message.request, message.onDecision)
                is AdmissionMessage.ApplyConfiguration -> state.applyConfiguration(message.configuration)
                is AdmissionMessage.SetConcurrencyLimit -> state.setConcurrencyLimit(message.limit)
                is AdmissionMessage.UpdateFleetDemand -> rateLimiter.updateFleetDemand(message.demand)
                is AdmissionMessage.UpdateRateShares<*> -> updateRateShares(message)
                AdmissionMessage.Wake -> Unit
            }
        }

        override fun tick(nowNanos: Long) {
            runPriorityTasks()
            state.refuseExpired()
            if (nowNanos < nextSnapshotNanos) return
            nextSnapshotNanos = nowNanos + SNAPSHOT_INTERVAL.inWholeNanoseconds
            snapshot = state.snapshot()
        }

        private fun <T> updateRateShares(message: AdmissionMessage.UpdateRateShares<T>) {
            message.result.complete(message.update(rateLimiter))
        }

        private fun runPriorityTasks() {
            while (true) (priorityTasks.poll() ?: return).invoke()
        }
    }

    private inner class CrossThreadRateShareBuckets : RateShareBuckets {
        override fun setSlotDivisor(divisor: Int) = await { it.setSlotDivisor(divisor) }

        override fun extendUnitLease(lease: LeaseId, cutoffNanos: Long) =
            await { it.extendUnitLease(lease, cutoffNanos) }

        override fun addUnits(lease: LeaseId, team: TeamId, units: List<RateUnit>) =
            await { it.addUnits(lease, team, units) }

        override fun dropAllUnits() = await { it.dropAllUnits() }

        override fun releaseUnits(team: TeamId, count: Int) = await { it.releaseUnits(team, count) }

        // Throws when the change is not accepted: continuing could hand over a share that this node still uses.
        private fun <T> await(update: (TeamRateLimiter) -> T): T {
            val result = CompletableFuture<T>()
            admissionThread.send(AdmissionMessage.UpdateRateShares(update, result)).onLeft { error(it.message) }
            return result.get(ADMISSION_REPLY_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }
}
