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
import dev.bergamotwind.serving.targets.TargetRegistry
import dev.bergamotwind.serving.targets.TargetState

/**
 * Decides which models and adapters the engines hold while this VM is the placement holder: it loads adapters that
 * requests wait for, and swaps models. Used on the serving loop.
 */
internal class PlacementManager(
    private val loop: ServingLoop,
    private val book: TargetRegistry,
    private val transport: OrderTransport,
    private val ownVm: VmId,
    private val term: () -> Long?,
    /** Returns the time before which this VM must not send an order to an engine. */
    private val earliestOrderMillis: (TargetId) -> Long,
    private val expectedLoads: ExpectedLoads,
    private val recorder: EventRecorder,
) : EngineOrderListener {
    private val engines = HashMap<TargetId, EngineState>()
    private val dispatchers = HashMap<TargetId, EngineOrderDispatcher>()

    // Kept longer than an engine's state: an order that an engine left unanswered may outlive the engine's restart
    // under the same id.
    private val unansweredOrders = HashMap<TargetId, UnansweredOrders>()
    private val lastOrderMillis = HashMap<TargetId, Long>()
    private val storeLoadLimiters = HashMap<ServiceId, StoreLoadLimiter>()
    private val unservedModels = HashMap<ServiceId, UnservedModels>()
    private val changedEngines = LinkedHashSet<TargetId>()
    private var configuration: ServedConfiguration? = null
    private var lastTerm: Long? = null
    private var rotationIndex = 0

    /**
     * Returns the holdings of the engines that have changed since the last call, and of one more engine in rotation.
     */
    fun takeChangedHoldings(): List<TargetHoldings> {
        if (term() == null) return emptyList()
        val announced = changedEngines.mapNotNull { engines[it] }.take(HOLDINGS_PER_HEARTBEAT)
        announced.forEach { changedEngines -= it.target.record.id }
        // The engine in rotation makes up for lost heartbeats.
        val known = engines.values.filter { it.acceptedOrders != null }
        val rotated = if (known.isEmpty()) null else known[rotationIndex++.mod(known.size)]
        return (announced + listOfNotNull(rotated)).distinct().map { it.holdings }
    }

    /** Models that are being loaded, and when the loads are expected to end. */
    fun expectedModels(): List<ExpectedModel> {
        val now = loop.nowMillis()
        return engines.values.mapNotNull { engine ->
            val operation = engine.operation
            when {
                operation?.kind == OrderKind.LOAD ->
                    ExpectedModel(operation.model, (operation.expectedEndMillis - now).toInt(), engine.target.record.id)

                else -> engine.swap?.let {
                    ExpectedModel(it.modelToLoad, (it.loadMillis + UNLOAD_MILLIS).toInt(), engine.target.record.id)
                }
            }
        }
    }

    /** Returns the milliseconds until [model] is loaded by the first engine that loads it, or null when none does. */
    fun millisUntilLoaded(model: ModelId): Long? =
        expectedModels().filter { it.model == model }.minOfOrNull { it.remainingMillis.toLong().coerceAtLeast(0) }

    /** Returns the milliseconds since the last order to each engine that got one within [withinMillis]. */
    fun orderAges(withinMillis: Long): Map<TargetId, Long> {
        val now = loop.nowMillis()
        lastOrderMillis.values.removeIf { now - it > withinMillis }
        return lastOrderMillis.mapValues { now - it.value }
    }

    /** Gives up the orders in flight, because this VM must not order engines any more. */
    fun abandonOrders(): Unit = dispatchers.values.forEach { it.abandonOrder() }

    /** Requests an adapter that a request at some VM waits for. */
    fun requestAdapter(use: AdapterUse) {
        val engine = engines[use.target] ?: return
        val key = use.model to use.adapter
        if (engine.models[use.model]?.contains(use.adapter) == true) {
            engine.adapterLastUseMillis[key] = loop.nowMillis()
            changedEngines += use.target
            return
        }
        engine.wantedAdapters += key
        profile(engine)?.let { dispatchers[use.target]?.sendNextOrder(it) }
    }

    /** Records that a request at some VM uses an adapter. */
    fun recordAdapterUse(use: AdapterUse) {
        engines[use.target]?.adapterLastUseMillis?.set(use.model to use.adapter, loop.nowMillis())
    }

    /** Updates the state of all engines and sends the orders that are due. */
    fun tick(configuration: ServedConfiguration, demand: Map<ModelId, ModelDemand>) {
        this.configuration = configuration
        val current = term()
        if (current != lastTerm) onTermChanged(current)
        if (current == null) return
        syncEngines(configuration)
        for (service in configuration.services.values) {
            val profile = service.engine ?: continue
            val serviceEngines = engines.filterValues { it.target.record.service == service.id }
            serviceEngines.keys.forEach { dispatchers[it]?.sendNextOrder(profile) }
            plan(service.id, serviceEngines.values, profile, demand)
        }
    }

    override fun onHoldingsChanged(engine: EngineState) {
        if (engines[engine.target.record.id] !== engine) return
        changedEngines += engine.target.record.id
        book.applyLoadedModels(engine.target.record.id, engine.holdings.models)
    }

    override fun onOrderPossiblyDelivered(engine: EngineState) {
        lastOrderMillis[engine.target.record.id] = loop.nowMillis()
    }

    override fun onStoreLoadStarted(engine: EngineState): Unit =
        storeLoadLimiter(engine.target.record.service).recordLoad()

    private fun storeLoadLimiter(service: ServiceId) = storeLoadLimiters.getOrPut(service) { StoreLoadLimiter() }

    private fun profile(engine: EngineState): EngineProfile? =
        configuration?.services?.get(engine.target.record.service)?.engine

    // Another holder may have changed the engines since the earlier term of this VM.
    private fun onTermChanged(current: Long?) {
        lastTerm = current
        engines.clear()
        dispatchers.values.forEach { it.retire() }
        dispatchers.clear()
        changedEngines.clear()
        storeLoadLimiters.clear()
        unservedModels.clear()
    }

    private fun syncEngines(configuration: ServedConfiguration) {
        val targets = book.all.filter {
            it.acceptsWork && configuration.services[it.record.service]?.engine != null
        }
        val present = targets.associateBy { it.record.id }
        engines.entries.removeIf { (id, engine) -> present[id] !== engine.target }
        dispatchers.entries.removeIf { (id, dispatcher) -> (id !in engines).also { if (it) dispatcher.retire() } }
        unansweredOrders.entries.removeIf { (id, orders) -> id !in engines && orders.isEmpty }
        targets.forEach { target ->
            if (target.record.id !in engines) addEngine(target)
            dispatchers[target.record.id]?.reconcileWithRecord()
        }
    }

    private fun addEngine(target: TargetState) {
        val engine = EngineState(target).also { it.replaceHoldings(target.record.models) }
        engine.pausedUntilMillis = earliestOrderMillis(target.record.id)
        expectedLoads.runningLoad(target.record.id)?.let { load ->
            val checkAtMillis = load.endMillis + OPERATION_CHECK_MILLIS
            engine.operation =
                ModelOperation(OrderKind.LOAD, load.model, loop.nowMillis(), checkAtMillis, load.endMillis)
        }
        engines[target.record.id] = engine
        dispatchers[target.record.id] = EngineOrderDispatcher(
            engine,
            loop,
            transport,
            ownVm,
            term,
            unansweredOrders.getOrPut(target.record.id) { UnansweredOrders(loop) },
            recorder,
            this,
        )
    }

    private fun plan(
        service: ServiceId,
        serviceEngines: Collection<EngineState>,
        profile: EngineProfile,
        demand: Map<ModelId, ModelDemand>,
    ) {
        val now = loop.nowMillis()
        serviceEngines.forEach { it.discardStaleSwap(now) }
        val storeLoads = storeLoadLimiter(service).availableLoads(now, profile.storeLoadsPerSecond)
        val snapshots = serviceEngines.map { it.snapshot(profile, now) }
        val serviceDemand = demand.filterKeys { it in profile.models }
        val unserved = unservedModels.getOrPut(service) { UnservedModels() }
        val overdue = unserved.update(profile, snapshots, serviceDemand, now)
        for (swap in SwapPlanner(profile, overdue).plan(snapshots, serviceDemand, storeLoads)) {
            val engine = engines[swap.target] ?: continue
            recorder.event("placement.swap") {
                field("target", swap.target)
                field("load", swap.modelToLoad)
                field("drop", swap.modelsToUnload.joinToString(",").ifEmpty { null })
                field("waiting", demand[swap.modelToLoad]?.waiting)
                field("work_per_second", demand[swap.modelToLoad]?.workPerSecond)
                field("load_millis", swap.loadMillis)
                field("from_store", swap.isFromStore)
                field("overdue", swap.modelToLoad in overdue)
            }
            engine.planSwap(swap, now)
            dispatchers[swap.target]?.sendNextOrder(profile)
        }
    }
}
