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
    private val seat: EngineState,
    private val loop: ServingLoop,
    private val orders: OrderTransport,
    private val own: VmId,
    private val term: () -> Long?,
    private val unanswered: UnansweredOrders,
    private val recorder: EventRecorder,
    private val listener: EngineOrderListener,
) {
    private var profile: EngineProfile? = null

    /** True once the engine is gone or has restarted: pending answers lead to no further orders. */
    var isRetired = false

    /** Sends the order that is due, if any. */
    fun advance(profile: EngineProfile) {
        this.profile = profile
        val now = loop.nowMillis()
        if (isRetired || seat.isCalling || now < seat.pausedUntilMillis) return
        val step = seat.step
        when {
            seat.acceptedOrders == null -> ask()
            step != null -> if (now >= step.checkMillis) ask()
            isSwapNext(now) -> swapStep(profile)
            seat.wanted.isNotEmpty() -> adapterStep(profile)
        }
    }

    // Requests want adapters continuously, so a swap that always came after them would never start.
    private fun isSwapNext(now: Long): Boolean = seat.swap != null &&
        (seat.wanted.isEmpty() || seat.hasSwapBegun || now - seat.swapPlannedMillis >= SWAP_TURN_MILLIS)

    /** Compares the engine's record in the store, which may be newer than orders and reports, with the known state. */
    fun followRecord() {
        val step = seat.step
        val held = seat.target.record.models
        val now = loop.nowMillis()
        val isQuiet = step == null && !seat.isCalling && seat.swap == null
        when {
            step?.kind == OrderKind.LOAD && step.model in held -> finished(step)

            step?.kind == OrderKind.UNLOAD && step.model !in held && now - step.startedMillis > LEAST_STEP_MILLIS ->
                finished(step)

            // The record may also be older, if its target cannot reach the store. Only the engine's report tells what
            // it holds at its number of accepted orders.
            isQuiet && now - seat.lastWordMillis > RECORD_LAG_MILLIS && held != seat.models ->
                seat.acceptedOrders = null
        }
    }

    private fun finished(step: ModelOperation) {
        seat.step = null
        seat.lastWordMillis = loop.nowMillis()
        if (step.kind == OrderKind.LOAD) {
            seat.models.getOrPut(step.model) { mutableSetOf() }
            seat.loadedMillis[step.model] = loop.nowMillis()
            if (seat.swap?.load == step.model) seat.swap = null
        } else {
            seat.models -= step.model
        }
        recorder.event("placement.finished") {
            field("target", seat.target.record.id)
            field("kind", step.kind)
            field("model", step.model)
            field("millis", loop.nowMillis() - step.startedMillis)
        }
        listener.changed(seat)
        profile?.let(::advance)
    }

    private fun ask() {
        seat.isCalling = true
        orders.report(seat.target.record) { report ->
            seat.isCalling = false
            if (report == null) {
                seat.pausedUntilMillis = loop.nowMillis() + REPORT_RETRY_MILLIS
            } else {
                reported(report)
            }
        }
    }

    private fun reported(report: TargetReport) {
        seat.acceptedOrders = report.acceptedOrders
        seat.lastWordMillis = loop.nowMillis()
        val step = seat.step
        if (report.isBusy) {
            busy(report, step)
        } else {
            seat.reported(report.models)
            val isDone = step != null && (step.model in report.models) == (step.kind == OrderKind.LOAD)
            if (step != null && isDone) finished(step)
            if (step != null && !isDone) {
                seat.step = null
                seat.swap = null
            }
        }
        listener.changed(seat)
        profile?.let(::advance)
    }

    private fun busy(report: TargetReport, step: ModelOperation?) {
        val check = loop.nowMillis() + STEP_CHECK_MILLIS
        if (step == null) {
            // The order of another holder will occupy memory when it is done.
            seat.acceptedOrders = null
            seat.pausedUntilMillis = check
        } else {
            step.checkMillis = check
        }
        seat.reported(report.models - setOfNotNull(step?.model.takeIf { step?.kind == OrderKind.UNLOAD }))
    }

    private fun adapterStep(profile: EngineProfile) {
        val key = seat.wanted.first()
        val (model, adapter) = key
        val held = seat.models[model]
        val size = profile.models[model]?.adapterMegabytes
        when {
            held == null || size == null || adapter in held -> {
                seat.wanted -= key
                listener.changed(seat)
            }

            seat.adapterCount < profile.adapterCapacity && seat.freeMegabytes(profile) >= size ->
                order(OrderKind.LOAD, model, adapter)

            seat.leavingAdapters.isNotEmpty() -> checkDroppedAdapters()

            else -> dropAdapter(key)
        }
    }

    private fun checkDroppedAdapters() {
        seat.acceptedOrders = null
        seat.pausedUntilMillis = loop.nowMillis() + ADAPTER_DROP_CHECK_MILLIS
    }

    private fun dropAdapter(wanted: Pair<ModelId, AdapterId>) {
        val victim = seat.models.flatMap { (model, adapters) -> adapters.map { model to it } }
            .minByOrNull { seat.adapterUse[it] ?: 0L }
        if (victim == null) {
            seat.wanted -= wanted
            return
        }
        val (model, adapter) = victim
        seat.models[model]?.remove(adapter)
        seat.leavingAdapters += victim
        listener.changed(seat)
        order(OrderKind.UNLOAD, model, adapter)
    }

    private fun swapStep(profile: EngineProfile) {
        val swap = seat.swap ?: return
        val victim = swap.drop.firstOrNull { it in seat.models }
        val model = profile.models[swap.load]
        when {
            swap.load in seat.models || model == null -> seat.swap = null

            victim != null -> {
                // The VMs stop sending requests for the model before the engine stops accepting them.
                seat.models -= victim
                listener.changed(seat)
                order(OrderKind.UNLOAD, victim, null)
            }

            seat.freeMegabytes(profile) < model.weightsMegabytes -> seat.swap = null

            else -> order(OrderKind.LOAD, swap.load, null)
        }
    }

    private fun order(kind: OrderKind, model: ModelId, adapter: AdapterId?) {
        val current = term()
        val accepted = seat.acceptedOrders
        if (current == null || accepted == null) {
            seat.acceptedOrders = null
            return
        }
        val order = TargetOrder(kind, model, adapter, accepted, own, current)
        if (!unanswered.leaveRoom(order, seat, profile)) {
            notCarriedOut(order)
            seat.pausedUntilMillis = loop.nowMillis() + STEP_CHECK_MILLIS
            return
        }
        seat.isCalling = true
        unanswered.sent(order)
        listener.orderMayArrive(seat)
        orders.order(seat.target.record, order, { term() == current }) { outcome ->
            seat.isCalling = false
            if (outcome != OrderOutcome.UNKNOWN) unanswered.answered(order)
            listener.orderMayArrive(seat)
            seat.lastWordMillis = loop.nowMillis()
            record(order, outcome)
            ordered(order, outcome)
            profile?.let(::advance)
        }
    }

    private fun record(order: TargetOrder, outcome: OrderOutcome): Unit = recorder.event("placement.order") {
        field("target", seat.target.record.id)
        field("kind", order.kind)
        field("model", order.model)
        field("adapter", order.adapter)
        field("accepted_orders", order.acceptedOrders)
        field("term", order.term)
        field("outcome", outcome)
    }

    private fun ordered(order: TargetOrder, outcome: OrderOutcome) {
        when (outcome) {
            OrderOutcome.ACCEPTED -> accepted(order)

            OrderOutcome.DONE -> done(order)

            else -> {
                notCarriedOut(order)
                seat.pausedUntilMillis = loop.nowMillis() +
                    if (outcome == OrderOutcome.WRONG_TARGET) WRONG_TARGET_PAUSE_MILLIS else ORDER_RETRY_MILLIS
                if (outcome == OrderOutcome.WRONG_TARGET) order.adapter?.let { seat.wanted -= order.model to it }
            }
        }
    }

    // Only a report tells what the engine holds now. The adapter counts as held until then: the dispatcher would
    // otherwise wait forever for the unload of an adapter whose order never arrived.
    private fun notCarriedOut(order: TargetOrder) {
        seat.acceptedOrders = null
        if (order.adapter != null) seat.leavingAdapters -= order.model to order.adapter
    }

    private fun accepted(order: TargetOrder) {
        seat.acceptedOrders = order.acceptedOrders + 1
        when {
            order.adapter == null -> {
                seat.hasSwapBegun = true
                modelStep(order)
            }

            order.kind == OrderKind.LOAD -> adapterComing(order.model to order.adapter)

            else -> checkDroppedAdapters()
        }
    }

    private fun modelStep(order: TargetOrder) {
        val now = loop.nowMillis()
        val swap = seat.swap
        val duration = if (order.kind == OrderKind.UNLOAD) DROP_MILLIS else swap?.loadMillis ?: STEP_CHECK_MILLIS
        if (order.kind == OrderKind.LOAD && swap?.fromStore == true) listener.storeLoadBegan(seat)
        seat.step = ModelOperation(order.kind, order.model, now, now + duration + STEP_CHECK_MILLIS, now + duration)
    }

    private fun adapterComing(key: Pair<ModelId, AdapterId>) {
        seat.models[key.first]?.add(key.second)
        seat.adapterUse[key] = loop.nowMillis()
        seat.wanted -= key
        // The engine would refuse a request for the adapter until it is loaded.
        loop.schedule(ADAPTER_ARRIVAL_MILLIS) { listener.changed(seat) }
    }

    private fun done(order: TargetOrder) {
        val key = order.adapter?.let { order.model to it }
        when {
            key == null && order.kind == OrderKind.LOAD -> {
                seat.models.getOrPut(order.model) { mutableSetOf() }
                seat.swap = null
            }

            key == null -> seat.acceptedOrders = null

            order.kind == OrderKind.UNLOAD -> {
                seat.leavingAdapters -= key
                seat.acceptedOrders = order.acceptedOrders + 1
            }

            else -> {
                seat.models[order.model]?.add(key.second)
                seat.wanted -= key
            }
        }
        listener.changed(seat)
    }
}
