package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.ServingLoop

/** Applies the outcomes of orders to what is known of their engine. Used on the serving loop. */
internal class OrderEffects(
    private val engine: EngineState,
    private val loop: ServingLoop,
    private val listener: EngineOrderListener,
) {
    /** Applies the [outcome] of [order]. */
    fun apply(order: TargetOrder, outcome: OrderOutcome) {
        when (outcome) {
            OrderOutcome.ACCEPTED -> onAccepted(order)

            OrderOutcome.DONE -> onDone(order)

            else -> {
                applyNotExecuted(order)
                engine.pausedUntilMillis = loop.nowMillis() +
                    if (outcome == OrderOutcome.WRONG_TARGET) WRONG_TARGET_PAUSE_MILLIS else ORDER_RETRY_MILLIS
                if (outcome == OrderOutcome.WRONG_TARGET) {
                    order.adapter?.let { engine.wantedAdapters -= order.model to it }
                }
            }
        }
    }

    /**
     * Applies that [order] was not executed, as far as known. Only a report tells what the engine holds now. The
     * adapter counts as held until then: the dispatcher would otherwise wait forever for the unload of an adapter whose
     * order never arrived.
     */
    fun applyNotExecuted(order: TargetOrder) {
        engine.acceptedOrders = null
        if (order.adapter != null) engine.unloadingAdapters -= order.model to order.adapter
    }

    private fun onAccepted(order: TargetOrder) {
        engine.acceptedOrders = order.acceptedOrders + 1
        when {
            order.adapter == null -> {
                engine.isSwapStarted = true
                startOperation(order)
            }

            order.kind == OrderKind.LOAD -> onAdapterLoading(order.model to order.adapter)

            else -> scheduleAdapterUnloadCheck()
        }
    }

    /** Has the engine asked soon whether an adapter that requests were still using has been unloaded. */
    fun scheduleAdapterUnloadCheck() {
        engine.acceptedOrders = null
        engine.pausedUntilMillis = loop.nowMillis() + ADAPTER_UNLOAD_CHECK_MILLIS
    }

    private fun startOperation(order: TargetOrder) {
        val now = loop.nowMillis()
        val swap = engine.swap
        val duration = if (order.kind == OrderKind.UNLOAD) UNLOAD_MILLIS else swap?.loadMillis ?: OPERATION_CHECK_MILLIS
        if (order.kind == OrderKind.LOAD && swap?.isFromStore == true) listener.onStoreLoadStarted(engine)
        engine.operation =
            ModelOperation(order.kind, order.model, now, now + duration + OPERATION_CHECK_MILLIS, now + duration)
    }

    private fun onAdapterLoading(key: Pair<ModelId, AdapterId>) {
        engine.models[key.first]?.add(key.second)
        engine.adapterLastUseMillis[key] = loop.nowMillis()
        engine.wantedAdapters -= key
        // The engine would refuse a request for the adapter until it is loaded.
        loop.schedule(ADAPTER_LOAD_MILLIS) { listener.onHoldingsChanged(engine) }
    }

    private fun onDone(order: TargetOrder) {
        val key = order.adapter?.let { order.model to it }
        when {
            key == null && order.kind == OrderKind.LOAD -> {
                engine.models.getOrPut(order.model) { mutableSetOf() }
                engine.swap = null
            }

            key == null -> engine.acceptedOrders = null

            order.kind == OrderKind.UNLOAD -> {
                engine.unloadingAdapters -= key
                engine.acceptedOrders = order.acceptedOrders + 1
            }

            else -> {
                engine.models[order.model]?.add(key.second)
                engine.wantedAdapters -= key
            }
        }
        listener.onHoldingsChanged(engine)
    }
}
