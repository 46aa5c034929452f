package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.ModelId
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
 * Gives orders to engines while this VM is their holder: adapters that requests wait for, and swaps of models. Each
 * engine gets one order at a time, under the condition that it has accepted exactly the orders known here; so an
 * order that is carried out late can never add to what another one has loaded. Used on the serving loop.
 */
internal class PlacementManager(
    private val loop: ServingLoop,
    private val book: TargetBook,
    private val orders: OrderTransport,
    private val own: VmId,
    private val term: () -> Long?,
    private val recorder: EventRecorder,
) {
    private val seats = HashMap<TargetId, EngineSeat>()
    private val pace = StoreLoadPace()
    private var lastTerm: Long? = null
    private var turn = 0L

    /** Engines whose holdings have changed since the last call of [takeChanges]. */
    private val changed = LinkedHashSet<TargetId>()

    /** What engines hold, those that changed first. */
    fun takeChanges(): List<TargetHoldings> {
        if (term() == null) return emptyList()
        val told = changed.mapNotNull { seats[it] }.take(HOLDINGS_PER_BEAT)
        told.forEach { changed -= it.target.record.id }
        // One more in turn repairs what a lost beat has left out.
        val inTurn = seats.values.filter { it.acceptedOrders != null }.let { known ->
            if (known.isEmpty()) null else known[(turn++ % known.size).toInt()]
        }
        return (told + listOfNotNull(inTurn)).distinct().map { holdings(it) }
    }

    /** Models that no engine holds and that are on their way. */
    fun expected(): List<ExpectedModel> {
        val now = loop.nowMillis()
        return seats.values.mapNotNull { seat ->
            val step = seat.step
            when {
                step?.kind == OrderKind.LOAD -> ExpectedModel(step.model, (step.expectedMillis - now).toInt())
                else -> seat.swap?.let { ExpectedModel(it.load, (it.loadMillis + DROP_MILLIS).toInt()) }
            }
        }
    }

    /** A request at some VM waits for an adapter. */
    fun wanted(use: AdapterUse) {
        val seat = seats[use.target] ?: return
        if (seat.models[use.model]?.contains(use.adapter) == true) {
            seat.adapterUse[use.model to use.adapter] = loop.nowMillis()
            changed += use.target
            return
        }
        seat.wanted.putIfAbsent(use.model to use.adapter, loop.nowMillis())
        if (term() != null) advance(seat, profile(seat) ?: return)
    }

    /** A request at some VM uses an adapter. */
    fun used(use: AdapterUse) {
        seats[use.target]?.adapterUse?.set(use.model to use.adapter, loop.nowMillis())
    }

    /** Looks at all engines and gives the orders that are due. */
    fun tick(configuration: ServedConfiguration, demand: Map<ModelId, ModelDemand>) {
        this.configuration = configuration
        val current = term()
        if (current != lastTerm) termChanged(current)
        followTargets(configuration)
        if (current == null) return
        for (service in configuration.services.values) {
            val profile = service.engine ?: continue
            val own = seats.values.filter { it.target.record.service == service.id }
            own.forEach { advance(it, profile) }
            plan(own, profile, demand)
        }
    }

    private var configuration: ServedConfiguration? = null

    private fun profile(seat: EngineSeat): EngineProfile? =
        configuration?.services?.get(seat.target.record.service)?.engine

    // Whatever was known under an earlier term may have been changed by another holder since.
    private fun termChanged(current: Long?) {
        lastTerm = current
        seats.clear()
        changed.clear()
    }

    private fun followTargets(configuration: ServedConfiguration) {
        val engines = book.all.filter {
            it.record.lifecycle == TargetLifecycle.READY && configuration.services[it.record.service]?.engine != null
        }
        val present = engines.associateBy { it.record.id }
        seats.entries.removeIf { (id, seat) -> present[id] !== seat.target }
        for (engine in engines) {
            val seat = seats.getOrPut(engine.record.id) {
                EngineSeat(engine).also { it.reported(engine.record.models) }
            }
            followRecord(seat, engine)
        }
    }

    private fun followRecord(seat: EngineSeat, engine: TargetState) {
        val step = seat.step
        val held = engine.record.models
        when {
            step?.kind == OrderKind.LOAD && step.model in held -> finished(seat, step)

            step?.kind == OrderKind.UNLOAD && step.model !in held &&
                loop.nowMillis() - step.startedMillis > LEAST_STEP_MILLIS -> finished(seat, step)

            step == null && !seat.isCalling && seat.swap == null &&
                loop.nowMillis() - seat.lastWordMillis > RECORD_LAG_MILLIS && held != seat.models -> {
                seat.reported(held)
                changed += engine.record.id
            }
        }
    }

    private fun finished(seat: EngineSeat, step: SeatStep) {
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
        tell(seat)
    }

    private fun advance(seat: EngineSeat, profile: EngineProfile) {
        val now = loop.nowMillis()
        if (seat.isCalling || now < seat.pausedUntilMillis) return
        val step = seat.step
        when {
            seat.acceptedOrders == null -> ask(seat)
            step != null -> if (now >= step.checkMillis) ask(seat)
            seat.wanted.isNotEmpty() -> adapterStep(seat, profile)
            seat.swap != null -> swapStep(seat, profile)
        }
    }

    private fun ask(seat: EngineSeat) {
        seat.isCalling = true
        orders.report(seat.target.record) { report ->
            seat.isCalling = false
            seat.pausedUntilMillis = loop.nowMillis() + if (report == null) REPORT_RETRY_MILLIS else 0
            if (report != null && seats[seat.target.record.id] === seat) reported(seat, report)
        }
    }

    private fun reported(seat: EngineSeat, report: TargetReport) {
        seat.acceptedOrders = report.acceptedOrders
        seat.lastWordMillis = loop.nowMillis()
        val step = seat.step
        if (report.isBusy) {
            val check = loop.nowMillis() + STEP_CHECK_MILLIS
            if (step == null) {
                // What another holder has ordered adds to the engine's memory when it is done.
                seat.acceptedOrders = null
                seat.pausedUntilMillis = check
            } else {
                step.checkMillis = check
            }
            seat.reported(report.models - setOfNotNull(step?.model.takeIf { step?.kind == OrderKind.UNLOAD }))
        } else {
            seat.reported(report.models)
            if (step != null) {
                seat.step = null
                val done = (step.model in report.models) == (step.kind == OrderKind.LOAD)
                if (done) finished(seat, step) else seat.swap = null
            }
        }
        tell(seat)
        configuration?.let { profile(seat)?.let { profile -> advance(seat, profile) } }
    }

    private fun adapterStep(seat: EngineSeat, profile: EngineProfile) {
        val (model, adapter) = seat.wanted.keys.first()
        val held = seat.models[model]
        val size = profile.models[model]?.adapterMegabytes
        when {
            held == null || size == null -> seat.wanted.remove(model to adapter)

            adapter in held -> {
                seat.wanted.remove(model to adapter)
                tell(seat)
            }

            seat.adapterCount < profile.adapterSlots && freeMegabytes(seat, profile) >= size ->
                order(seat, OrderKind.LOAD, model, adapter)

            seat.leavingAdapters.isNotEmpty() -> {
                seat.acceptedOrders = null
                seat.pausedUntilMillis = loop.nowMillis() + ADAPTER_DROP_CHECK_MILLIS
            }

            else -> dropAdapter(seat, model to adapter)
        }
    }

    private fun dropAdapter(seat: EngineSeat, wanted: Pair<ModelId, AdapterId>) {
        val victim = seat.models.flatMap { (model, adapters) -> adapters.map { model to it } }
            .minByOrNull { seat.adapterUse[it] ?: 0L }
        if (victim == null) {
            seat.wanted.remove(wanted)
            return
        }
        seat.models[victim.first]?.remove(victim.second)
        tell(seat)
        order(seat, OrderKind.UNLOAD, victim.first, victim.second)
    }

    private fun swapStep(seat: EngineSeat, profile: EngineProfile) {
        val swap = seat.swap ?: return
        val victim = swap.drop.firstOrNull { it in seat.models }
        val model = profile.models[swap.load]
        when {
            swap.load in seat.models || model == null -> seat.swap = null

            victim != null -> {
                val adapters = seat.models.remove(victim)
                tell(seat)
                order(seat, OrderKind.UNLOAD, victim, null) { seat.models[victim] = adapters ?: mutableSetOf() }
            }

            freeMegabytes(seat, profile) < model.weightsMegabytes -> seat.swap = null

            else -> order(seat, OrderKind.LOAD, swap.load, null)
        }
    }

    private fun order(seat: EngineSeat, kind: OrderKind, model: ModelId, adapter: AdapterId?, undo: () -> Unit = {}) {
        val current = term()
        val accepted = seat.acceptedOrders
        if (current == null || accepted == null) return undo()
        val order = TargetOrder(kind, model, adapter, accepted, own, current)
        seat.isCalling = true
        orders.order(seat.target.record, order) { outcome ->
            seat.isCalling = false
            seat.lastWordMillis = loop.nowMillis()
            recorder.event("placement.order") {
                field("target", seat.target.record.id)
                field("kind", kind)
                field("model", model)
                field("adapter", adapter)
                field("accepted_orders", accepted)
                field("term", current)
                field("outcome", outcome)
            }
            if (seats[seat.target.record.id] === seat) ordered(seat, order, outcome, undo)
        }
    }

    private fun ordered(seat: EngineSeat, order: TargetOrder, outcome: OrderOutcome, undo: () -> Unit) {
        when (outcome) {
            OrderOutcome.ACCEPTED -> accepted(seat, order)

            OrderOutcome.DONE -> done(seat, order)

            else -> {
                undo()
                seat.acceptedOrders = null
                seat.pausedUntilMillis = loop.nowMillis() +
                    if (outcome == OrderOutcome.WRONG_TARGET) WRONG_TARGET_PAUSE_MILLIS else ORDER_RETRY_MILLIS
            }
        }
        profile(seat)?.let { advance(seat, it) }
    }

    private fun accepted(seat: EngineSeat, order: TargetOrder) {
        seat.acceptedOrders = order.acceptedOrders + 1
        val now = loop.nowMillis()
        if (order.adapter != null) return adapterAccepted(seat, order.kind, order.model to order.adapter)
        val swap = seat.swap
        val duration = if (order.kind == OrderKind.UNLOAD) DROP_MILLIS else swap?.loadMillis ?: STEP_CHECK_MILLIS
        if (order.kind == OrderKind.LOAD && swap?.fromStore == true) pace.begin()
        val check = now + duration + STEP_CHECK_MILLIS
        seat.step = SeatStep(order.kind, order.model, now, check, now + duration)
    }

    private fun adapterAccepted(seat: EngineSeat, kind: OrderKind, key: Pair<ModelId, AdapterId>) {
        if (kind == OrderKind.UNLOAD) {
            // The engine waits for the requests that use it; only a report tells when it is gone.
            seat.leavingAdapters += key
            seat.acceptedOrders = null
            seat.pausedUntilMillis = loop.nowMillis() + ADAPTER_DROP_CHECK_MILLIS
            return
        }
        seat.models[key.first]?.add(key.second)
        seat.adapterUse[key] = loop.nowMillis()
        seat.wanted.remove(key)
        // Until the engine has the adapter, a request for it would be refused.
        loop.schedule(ADAPTER_ARRIVAL_MILLIS) { tell(seat) }
    }

    private fun done(seat: EngineSeat, order: TargetOrder) {
        val adapters = seat.models[order.model]
        when {
            order.adapter != null && order.kind == OrderKind.UNLOAD -> seat.acceptedOrders = order.acceptedOrders + 1

            order.adapter != null -> {
                adapters?.add(order.adapter)
                seat.wanted.remove(order.model to order.adapter)
                tell(seat)
            }

            order.kind == OrderKind.LOAD -> {
                seat.models.getOrPut(order.model) { mutableSetOf() }
                seat.swap = null
                tell(seat)
            }

            else -> seat.acceptedOrders = null
        }
    }

    private fun plan(own: List<EngineSeat>, profile: EngineProfile, demand: Map<ModelId, ModelDemand>) {
        val storeLoads = pace.available(loop.nowMillis(), profile.storeLoadsPerSecond)
        val engines = own.map { view(it, profile) }
        for (swap in SwapPlanner(profile).plan(engines, demand, storeLoads)) {
            val seat = seats[swap.target] ?: continue
            recorder.event("placement.swap") {
                field("target", swap.target)
                field("load", swap.load)
                field("drop", swap.drop.joinToString(","))
                field("demand", demand[swap.load])
                field("load_millis", swap.loadMillis)
                field("from_store", swap.fromStore)
            }
            seat.swap = swap
            advance(seat, profile)
        }
    }

    private fun view(seat: EngineSeat, profile: EngineProfile): EngineView {
        val now = loop.nowMillis()
        val record = seat.target.record
        return EngineView(
            target = record.id,
            models = seat.models.keys.toSet(),
            coming = seat.swap?.load ?: seat.step?.takeIf { it.kind == OrderKind.LOAD }?.model,
            isReachable = !seat.target.health.isSuspended(now),
            isFree =
            seat.acceptedOrders != null && seat.step == null && seat.swap == null && now >= seat.pausedUntilMillis &&
                !seat.target.health.isSuspended(now),
            freeMegabytes = freeMegabytes(seat, profile),
            occupiedMegabytes = seat.models.keys.associateWith { occupied(seat, it, profile) },
            modelsInMemory = record.modelsInMemory,
            modelsOnDisk = record.modelsOnDisk,
            recent = seat.loadedMillis.filterValues { now - it < RECENT_LOAD_MILLIS }.keys,
            requests = seat.target.peerLoad.requests + seat.target.attempts.size,
        )
    }

    private fun freeMegabytes(seat: EngineSeat, profile: EngineProfile): Double {
        val leaving = seat.step?.takeIf { it.kind == OrderKind.UNLOAD }?.model
        val held = seat.models.keys + setOfNotNull(leaving)
        return profile.weightsMegabytes - held.sumOf { occupied(seat, it, profile) }
    }

    private fun occupied(seat: EngineSeat, model: ModelId, profile: EngineProfile): Double {
        val known = profile.models[model] ?: return profile.weightsMegabytes
        return known.weightsMegabytes + seat.adapterCount(model) * known.adapterMegabytes
    }

    private fun tell(seat: EngineSeat) {
        changed += seat.target.record.id
        book.told(seat.target.record.id, seat.models.mapValues { it.value.toSet() })
    }

    private fun holdings(seat: EngineSeat) =
        TargetHoldings(seat.target.record.id, seat.models.mapValues { it.value.toSet() })
}
