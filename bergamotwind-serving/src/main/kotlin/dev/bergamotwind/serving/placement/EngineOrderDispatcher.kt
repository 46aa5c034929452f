package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.catalogue.EngineProfile

/**
 * Sends one engine its orders, one at a time. Each order requires that the engine has accepted exactly the orders known
 * here, so an order that is executed late can never add to what another one has loaded. Used on the serving loop.
 */
internal class EngineOrderDispatcher(
    private val engine: EngineState,
    private val loop: ServingLoop,
    private val transport: OrderTransport,
    private val ownVm: VmId,
    private val term: () -> Long?,
    private val unansweredOrders: UnansweredOrders,
    private val recorder: EventRecorder,
    private val listener: EngineOrderListener,
) {
    private val effects = OrderEffects(engine, loop, listener)
    private var profile: EngineProfile? = null
    private var orderInFlight: OrderInFlight? = null

    /** True once the engine is gone or has restarted, or the term is over: no answer leads to further orders. */
    private var isRetired = false

    /** Ends the orders to the engine. */
    fun retire() {
        isRetired = true
        abandonOrder()
    }

    /** Gives up the order in flight, which must not arrive after orders of the next start or of the next holder. */
    fun abandonOrder() {
        orderInFlight?.giveUp()
    }

    /** Sends the order that is due, if any. */
    fun sendNextOrder(profile: EngineProfile) {
        this.profile = profile
        val now = loop.nowMillis()
        if (isRetired || engine.isCallPending || now < engine.nextCallMillis) return
        val operation = engine.operation
        when {
            engine.acceptedOrders == null -> requestReport()
            operation != null -> if (now >= operation.checkAtMillis) requestReport()
            isSwapDue(now) -> sendSwapOrder(profile)
            engine.wantedAdapters.isNotEmpty() -> sendAdapterOrder(profile)
        }
    }

    // Requests want adapters continuously, so a swap that always came after them would never start.
    private fun isSwapDue(now: Long): Boolean = engine.swap != null && (
        engine.wantedAdapters.isEmpty() ||
            engine.isSwapStarted ||
            now - engine.swapPlannedMillis >= ADAPTER_PRECEDENCE_MILLIS
        )

    /** Compares the engine's record in the store, which may be newer than orders and reports, with the known state. */
    fun reconcileWithRecord() {
        val operation = engine.operation
        val held = engine.target.record.models
        val now = loop.nowMillis()
        val isQuiet = operation == null && !engine.isCallPending && engine.swap == null
        when {
            operation?.kind == OrderKind.LOAD && operation.model in held -> completeOperation(operation)

            operation?.kind == OrderKind.UNLOAD && operation.model !in held &&
                now - operation.startedMillis > MIN_OPERATION_MILLIS ->
                completeOperation(operation)

            // The record may also be older, if its target cannot reach the store. Only the engine's report tells what
            // it holds at its number of accepted orders.
            isQuiet && now - engine.lastContactMillis > RECORD_LAG_MILLIS && held != engine.models ->
                engine.acceptedOrders = null
        }
    }

    private fun completeOperation(operation: ModelOperation) {
        engine.operation = null
        engine.lastContactMillis = loop.nowMillis()
        if (operation.kind == OrderKind.LOAD) {
            engine.models.getOrPut(operation.model) { mutableSetOf() }
            engine.loadedAtMillis[operation.model] = loop.nowMillis()
            if (engine.swap?.modelToLoad == operation.model) engine.swap = null
        } else {
            engine.models -= operation.model
        }
        recorder.event("placement.finished") {
            field("target", engine.target.record.id)
            field("kind", operation.kind)
            field("model", operation.model)
            field("millis", loop.nowMillis() - operation.startedMillis)
        }
        listener.onHoldingsChanged(engine)
        profile?.let(::sendNextOrder)
    }

    private fun requestReport() {
        engine.isCallPending = true
        transport.requestReport(engine.target.record) { report ->
            engine.isCallPending = false
            if (report == null) {
                engine.pausedUntilMillis = loop.nowMillis() + REPORT_RETRY_MILLIS
            } else {
                applyReport(report)
            }
        }
    }

    private fun applyReport(report: TargetReport) {
        engine.acceptedOrders = report.acceptedOrders
        engine.lastContactMillis = loop.nowMillis()
        val operation = engine.operation
        if (report.isBusy) {
            applyBusyReport(report, operation)
        } else {
            engine.replaceHoldings(report.models)
            val isDone = operation != null && (operation.model in report.models) == (operation.kind == OrderKind.LOAD)
            if (operation != null && isDone) completeOperation(operation)
            if (operation != null && !isDone) {
                engine.operation = null
                engine.swap = null
            }
        }
        listener.onHoldingsChanged(engine)
        profile?.let(::sendNextOrder)
    }

    private fun applyBusyReport(report: TargetReport, operation: ModelOperation?) {
        val checkAtMillis = loop.nowMillis() + OPERATION_CHECK_MILLIS
        if (operation == null) {
            // The order of another holder will occupy memory when it is done.
            engine.acceptedOrders = null
            engine.pausedUntilMillis = checkAtMillis
        } else {
            operation.checkAtMillis = checkAtMillis
        }
        val unloadingModel = operation?.model.takeIf { operation?.kind == OrderKind.UNLOAD }
        engine.replaceHoldings(report.models - setOfNotNull(unloadingModel))
    }

    private fun sendAdapterOrder(profile: EngineProfile) {
        val key = engine.wantedAdapters.first()
        val (model, adapter) = key
        val held = engine.models[model]
        val size = profile.models[model]?.adapterMegabytes
        when {
            held == null || size == null || adapter in held -> {
                engine.wantedAdapters -= key
                listener.onHoldingsChanged(engine)
            }

            engine.adapterCount < profile.adapterCapacity && engine.freeMegabytes(profile) >= size ->
                sendOrder(OrderKind.LOAD, model, adapter)

            engine.unloadingAdapters.isNotEmpty() -> effects.scheduleAdapterUnloadCheck()

            else -> evictAdapter(key)
        }
    }

    private fun evictAdapter(wantedAdapter: Pair<ModelId, AdapterId>) {
        val victim = engine.models.flatMap { (model, adapters) -> adapters.map { model to it } }
            .minByOrNull { engine.adapterLastUseMillis[it] ?: 0L }
        if (victim == null) {
            engine.wantedAdapters -= wantedAdapter
            return
        }
        val (model, adapter) = victim
        engine.models[model]?.remove(adapter)
        engine.unloadingAdapters += victim
        listener.onHoldingsChanged(engine)
        sendOrder(OrderKind.UNLOAD, model, adapter)
    }

    private fun sendSwapOrder(profile: EngineProfile) {
        val swap = engine.swap ?: return
        val victim = swap.modelsToUnload.firstOrNull { it in engine.models }
        val model = profile.models[swap.modelToLoad]
        when {
            swap.modelToLoad in engine.models || model == null -> engine.swap = null

            victim != null -> {
                // The VMs stop sending requests for the model before the engine stops accepting them.
                engine.models -= victim
                listener.onHoldingsChanged(engine)
                sendOrder(OrderKind.UNLOAD, victim, null)
            }

            engine.freeMegabytes(profile) < model.weightsMegabytes -> engine.swap = null

            else -> sendOrder(OrderKind.LOAD, swap.modelToLoad, null)
        }
    }

    private fun sendOrder(kind: OrderKind, model: ModelId, adapter: AdapterId?) {
        val current = term()
        val accepted = engine.acceptedOrders
        if (current == null || accepted == null) {
            engine.acceptedOrders = null
            return
        }
        val order = TargetOrder(kind, model, adapter, accepted, ownVm, current)
        if (!unansweredOrders.fitsWith(order, engine, profile)) {
            effects.applyNotExecuted(order)
            engine.pausedUntilMillis = loop.nowMillis() + OPERATION_CHECK_MILLIS
            return
        }
        engine.isCallPending = true
        unansweredOrders.add(order)
        val sent = OrderInFlight(order, { listener.onOrderPossiblyDelivered(engine) }, ::onOutcome)
        orderInFlight = sent
        sent.send(transport, engine.target.record, isPermitted = { term() == current })
    }

    private fun onOutcome(order: OrderInFlight, outcome: OrderOutcome) {
        orderInFlight = null
        engine.isCallPending = false
        if (outcome != OrderOutcome.UNKNOWN) unansweredOrders.remove(order.order)
        if (order.hasLeft) listener.onOrderPossiblyDelivered(engine)
        engine.lastContactMillis = loop.nowMillis()
        recordOutcome(order.order, outcome)
        effects.apply(order.order, outcome)
        profile?.let(::sendNextOrder)
    }

    private fun recordOutcome(order: TargetOrder, outcome: OrderOutcome): Unit = recorder.event("placement.order") {
        field("target", engine.target.record.id)
        field("kind", order.kind)
        field("model", order.model)
        field("adapter", order.adapter)
        field("accepted_orders", order.acceptedOrders)
        field("term", order.term)
        field("outcome", outcome)
    }
}
