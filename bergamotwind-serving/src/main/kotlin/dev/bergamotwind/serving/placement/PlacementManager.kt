package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.catalogue.EngineProfile
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.peer.AdapterUse
import dev.bergamotwind.serving.peer.ExpectedModel
import dev.bergamotwind.serving.peer.ModelDemand
import dev.bergamotwind.serving.peer.TargetHoldings
import dev.bergamotwind.serving.targets.TargetBook
import dev.bergamotwind.serving.targets.TargetLifecycle
import dev.bergamotwind.serving.targets.TargetState

/**
 * Decides which models and adapters the engines hold while this VM is the placement holder: it loads adapters that
 * requests wait for, and swaps models. Used on the serving loop.
 */
internal class PlacementManager(
    private val loop: ServingLoop,
    private val book: TargetBook,
    private val orders: OrderTransport,
    private val own: VmId,
    private val term: () -> Long?,
    /** Returns the time before which this VM must not send an order to an engine. */
    private val readyMillis: (TargetId) -> Long,
    private val expectedLoads: ExpectedLoads,
    private val recorder: EventRecorder,
) : EngineOrderListener {
    private val seats = HashMap<TargetId, EngineState>()
    private val seatOrders = HashMap<TargetId, EngineOrderDispatcher>()

    // Kept longer than an engine's state: an order that an engine left unanswered may outlive the engine's restart
    // under the same id.
    private val unanswered = HashMap<TargetId, UnansweredOrders>()
    private val lastOrderMillis = HashMap<TargetId, Long>()
    private val paces = HashMap<ServiceId, StoreLoadLimiter>()
    private val changed = LinkedHashSet<TargetId>()
    private var configuration: ServedConfiguration? = null
    private var lastTerm: Long? = null
    private var turn = 0

    /**
     * Returns the holdings of the engines that have changed since the last call, and of one more engine in rotation.
     */
    fun takeChanges(): List<TargetHoldings> {
        if (term() == null) return emptyList()
        val told = changed.mapNotNull { seats[it] }.take(HOLDINGS_PER_BEAT)
        told.forEach { changed -= it.target.record.id }
        // The engine in rotation makes up for lost heartbeats.
        val known = seats.values.filter { it.acceptedOrders != null }
        val inTurn = if (known.isEmpty()) null else known[turn++.mod(known.size)]
        return (told + listOfNotNull(inTurn)).distinct().map { it.holdings }
    }

    /** Models that are being loaded, and when the loads are expected to end. */
    fun expected(): List<ExpectedModel> {
        val now = loop.nowMillis()
        return seats.values.mapNotNull { seat ->
            val step = seat.step
            when {
                step?.kind == OrderKind.LOAD ->
                    ExpectedModel(step.model, (step.expectedMillis - now).toInt(), seat.target.record.id)

                else -> seat.swap?.let {
                    ExpectedModel(it.load, (it.loadMillis + DROP_MILLIS).toInt(), seat.target.record.id)
                }
            }
        }
    }

    /** Returns the milliseconds until [model] is loaded by the first engine that loads it, or null when none does. */
    fun millisUntil(model: ModelId): Long? =
        expected().filter { it.model == model }.minOfOrNull { it.millis.toLong().coerceAtLeast(0) }

    /** Returns the milliseconds since the last order to each engine that got one within [withinMillis]. */
    fun orderAges(withinMillis: Long): Map<TargetId, Long> {
        val now = loop.nowMillis()
        lastOrderMillis.values.removeIf { now - it > withinMillis }
        return lastOrderMillis.mapValues { now - it.value }
    }

    /** Requests an adapter that a request at some VM waits for. */
    fun wanted(use: AdapterUse) {
        val seat = seats[use.target] ?: return
        val key = use.model to use.adapter
        if (seat.models[use.model]?.contains(use.adapter) == true) {
            seat.adapterUse[key] = loop.nowMillis()
            changed += use.target
            return
        }
        seat.wanted += key
        profile(seat)?.let { seatOrders[use.target]?.advance(it) }
    }

    /** Records that a request at some VM uses an adapter. */
    fun used(use: AdapterUse) {
        seats[use.target]?.adapterUse?.set(use.model to use.adapter, loop.nowMillis())
    }

    /** Updates the state of all engines and sends the orders that are due. */
    fun tick(configuration: ServedConfiguration, demand: Map<ModelId, ModelDemand>) {
        this.configuration = configuration
        val current = term()
        if (current != lastTerm) termChanged(current)
        if (current == null) return
        followTargets(configuration)
        for (service in configuration.services.values) {
            val profile = service.engine ?: continue
            val engines = seats.filterValues { it.target.record.service == service.id }
            engines.keys.forEach { seatOrders[it]?.advance(profile) }
            plan(service.id, engines.values, profile, demand)
        }
    }

    override fun changed(seat: EngineState) {
        if (seats[seat.target.record.id] !== seat) return
        changed += seat.target.record.id
        book.told(seat.target.record.id, seat.holdings.models)
    }

    override fun orderMayArrive(seat: EngineState) {
        lastOrderMillis[seat.target.record.id] = loop.nowMillis()
    }

    override fun storeLoadBegan(seat: EngineState): Unit = pace(seat.target.record.service).begin()

    private fun pace(service: ServiceId) = paces.getOrPut(service) { StoreLoadLimiter() }

    private fun profile(seat: EngineState): EngineProfile? =
        configuration?.services?.get(seat.target.record.service)?.engine

    // Another holder may have changed the engines since the earlier term of this VM.
    private fun termChanged(current: Long?) {
        lastTerm = current
        seats.clear()
        seatOrders.values.forEach { it.isRetired = true }
        seatOrders.clear()
        changed.clear()
        paces.clear()
    }

    private fun followTargets(configuration: ServedConfiguration) {
        val engines = book.all.filter {
            it.record.lifecycle == TargetLifecycle.READY && configuration.services[it.record.service]?.engine != null
        }
        val present = engines.associateBy { it.record.id }
        seats.entries.removeIf { (id, seat) -> present[id] !== seat.target }
        seatOrders.entries.removeIf { (id, orders) -> (id !in seats).also { orders.isRetired = it } }
        unanswered.entries.removeIf { (id, orders) -> id !in seats && orders.isEmpty }
        engines.forEach { engine ->
            if (engine.record.id !in seats) add(engine)
            seatOrders[engine.record.id]?.followRecord()
        }
    }

    private fun add(engine: TargetState) {
        val seat = EngineState(engine).also { it.reported(engine.record.models) }
        seat.pausedUntilMillis = readyMillis(engine.record.id)
        expectedLoads.at(engine.record.id)?.let { load ->
            val check = load.endMillis + STEP_CHECK_MILLIS
            seat.step = ModelOperation(OrderKind.LOAD, load.model, loop.nowMillis(), check, load.endMillis)
        }
        seats[engine.record.id] = seat
        seatOrders[engine.record.id] = EngineOrderDispatcher(
            seat,
            loop,
            orders,
            own,
            term,
            unanswered.getOrPut(engine.record.id) { UnansweredOrders(loop) },
            recorder,
            this,
        )
    }

    private fun plan(
        service: ServiceId,
        engines: Collection<EngineState>,
        profile: EngineProfile,
        demand: Map<ModelId, ModelDemand>,
    ) {
        val now = loop.nowMillis()
        engines.forEach { it.dropOutdatedSwap(now) }
        val storeLoads = pace(service).available(now, profile.storeLoadsPerSecond)
        for (swap in SwapPlanner(profile).plan(engines.map { it.view(profile, now) }, demand, storeLoads)) {
            val seat = seats[swap.target] ?: continue
            recorder.event("placement.swap") {
                field("target", swap.target)
                field("load", swap.load)
                field("drop", swap.drop.joinToString(",").ifEmpty { null })
                field("waiting", demand[swap.load]?.waiting)
                field("work_per_second", demand[swap.load]?.workPerSecond)
                field("load_millis", swap.loadMillis)
                field("from_store", swap.fromStore)
            }
            seat.plan(swap, now)
            seatOrders[swap.target]?.advance(profile)
        }
    }
}
