package dev.bergamotwind.serving.placement

import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.catalogue.EngineProfile

/**
 * Orders that one engine id has not answered. Such an order may be executed seconds later, when the engine's number of
 * accepted orders equals the one it names. Within one start of the engine that number has passed or is the current one;
 * after a restart under the same id the engine counts from zero and reaches it again. Used on the serving loop.
 */
internal class UnansweredOrders(private val loop: ServingLoop) {
    private class SentOrder(val order: TargetOrder, val expiresMillis: Long)

    // Retries of an order are equal to it, so the list may contain equal entries.
    private val sentOrders = ArrayList<SentOrder>()

    /** True when no order is left that may still take effect. */
    val isEmpty: Boolean
        get() {
            sentOrders.removeIf { it.expiresMillis <= loop.nowMillis() }
            return sentOrders.isEmpty()
        }

    /** Records that [order] is being sent. */
    fun add(order: TargetOrder) {
        sentOrders += SentOrder(order, loop.nowMillis() + LATE_ORDER_MILLIS)
    }

    /** Removes [order] as it was sent last, once the engine has answered it. */
    fun remove(order: TargetOrder) {
        sentOrders.indexOfLast { it.order == order }.takeIf { it >= 0 }?.let(sentOrders::removeAt)
    }

    /**
     * Returns true when the engine, once it has accepted [order], has room for all orders that may still take effect.
     */
    fun fitsWith(order: TargetOrder, engine: EngineState, profile: EngineProfile?): Boolean {
        val size = profile?.models?.get(order.model) ?: return true
        val isLoad = order.kind == OrderKind.LOAD
        val isAdapter = order.adapter != null
        val takenMegabytes = when {
            isLoad -> megabytes(order, profile)

            isAdapter -> 0.0

            // The engine's state no longer lists the model that is about to be unloaded.
            else -> size.weightsMegabytes + profile.adapterCapacity * size.adapterMegabytes
        }
        val adapters = engine.adapterCount + if (isLoad && isAdapter) 1 else 0
        return fitsAt(order.acceptedOrders + 1, adapters, engine.freeMegabytes(profile) - takenMegabytes, profile)
    }

    /**
     * Returns true when an engine that has accepted [acceptedOrders], with [adapters] adapters and [freeMegabytes]
     * free, has room for all orders that may still take effect there. Each of them requires its own number, and
     * executing one allows the one with the next number to follow.
     */
    private fun fitsAt(acceptedOrders: Long, adapters: Int, freeMegabytes: Double, profile: EngineProfile): Boolean {
        if (isEmpty) return true
        var number = acceptedOrders
        var megabytes = 0.0
        var newAdapters = 0
        while (true) {
            val possible = sentOrders.map { it.order }.filter { it.acceptedOrders == number }
            if (possible.isEmpty()) break
            megabytes += possible.maxOf { megabytes(it, profile) }
            if (possible.any { it.kind == OrderKind.LOAD && it.adapter != null }) newAdapters++
            number++
        }
        return number == acceptedOrders ||
            (megabytes <= freeMegabytes && (newAdapters == 0 || adapters + newAdapters <= profile.adapterCapacity))
    }

    private fun megabytes(order: TargetOrder, profile: EngineProfile): Double {
        val model = profile.models[order.model]
        if (model == null || order.kind == OrderKind.UNLOAD) return 0.0
        return if (order.adapter == null) model.weightsMegabytes else model.adapterMegabytes
    }
}
