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

/** Runs placement of this node's failure domain, while this node owns it, on a thread of its own. */
internal class PlacementDuty(
    settings: NodeSettings,
    keyValue: KeyValueService,
    engines: EngineControl,
    private val view: PlacementView,
    clock: Clock,
    monitor: InvariantMonitor,
    recorder: EventRecorder,
) : DutyHandler<DemandObservation>,
    AutoCloseable {
    private val duty = Duty("placement", this, PLACEMENT_INTERVAL)
    private val demand = DemandEstimator()
    private val ownership = PlacementOwnership(keyValue, clock, settings.vm, settings.failureDomain)
    private val controller = PlacementController(
        settings.failureDomain,
        ownership,
        keyValue,
        engines,
        view,
        clock,
        monitor,
        recorder,
        PlacementSettings(weightStore = storeLimits(settings)),
    )

    /** Whether this node owned placement in its last step. */
    @Volatile
    var isOwner: Boolean = false
        private set

    /** Starts planning. */
    fun start(): PlacementDuty = apply { duty.start() }

    /** Counts demand; what arrives while the duty is overloaded is missing from the estimate only. */
    fun observe(observation: DemandObservation) {
        duty.send(observation)
    }

    override fun handle(message: DemandObservation): Unit =
        demand.observe(message.model, message.adapter, message.tokens)

    override fun tick(nowNanos: Long) {
        view.ownDemand = demand.update(nowNanos)
        isOwner = controller.runCycle().outcome != PlacementCycleOutcome.NOT_OWNER && ownership.currentFencing() != null
    }

    override fun close() {
        duty.close()
        ownership.release()
    }

    private fun storeLimits(settings: NodeSettings) = WeightStoreLimits(
        settings.weightStore.loadsPerSecond.toDouble(),
        settings.weightStore.concurrentLoads,
        settings.weightStore.adapterLoadsInFlight,
    )
}
