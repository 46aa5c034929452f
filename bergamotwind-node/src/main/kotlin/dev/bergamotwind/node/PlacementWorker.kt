package dev.bergamotwind.node

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EngineControl
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.configuration.NodeSettings
import dev.bergamotwind.core.Duty
import dev.bergamotwind.core.DutyHandler
import dev.bergamotwind.placement.DemandEstimator
import dev.bergamotwind.placement.PlacementController
import dev.bergamotwind.placement.PlacementCycleOutcome
import dev.bergamotwind.placement.PlacementOwnership
import dev.bergamotwind.placement.PlacementSettings
import dev.bergamotwind.placement.WeightStoreLimits

/** Runs placement for this node's failure domain on its own thread, while this node is the placement owner. */
internal class PlacementWorker(
    settings: NodeSettings,
    keyValue: KeyValueService,
    engineControl: EngineControl,
    private val inputs: PlacementInputs,
    clock: Clock,
    monitor: InvariantMonitor,
    recorder: EventRecorder,
) : DutyHandler<DemandObservation>,
    AutoCloseable {
    private val workerThread = Duty("placement", this, PLACEMENT_PLANNING_INTERVAL)
    private val demandEstimator = DemandEstimator()
    private val ownership = PlacementOwnership(keyValue, clock, settings.vm, settings.failureDomain)
    private val controller = PlacementController(
        settings.failureDomain,
        ownership,
        keyValue,
        engineControl,
        inputs,
        clock,
        monitor,
        recorder,
        PlacementSettings(weightStore = storeLimits(settings)),
    )

    /** Whether this node was the placement owner in its last step. */
    @Volatile
    var isOwner: Boolean = false
        private set

    /** Starts the worker thread. */
    fun start(): PlacementWorker = apply { workerThread.start() }

    /** Queues [observation] for the estimate of demand; it is dropped if the queue is full. */
    fun recordDemand(observation: DemandObservation) {
        workerThread.send(observation)
    }

    override fun handle(message: DemandObservation): Unit =
        demandEstimator.observe(message.model, message.adapter, message.tokens)

    override fun tick(nowNanos: Long) {
        inputs.ownDemand = demandEstimator.update(nowNanos)
        isOwner = controller.runCycle().outcome != PlacementCycleOutcome.NOT_OWNER && ownership.currentFencing() != null
    }

    override fun close() {
        workerThread.close()
        ownership.release()
    }

    private fun storeLimits(settings: NodeSettings) = WeightStoreLimits(
        settings.weightStore.loadsPerSecond.toDouble(),
        settings.weightStore.concurrentLoads,
        settings.weightStore.adapterLoadsInFlight,
    )
}
