package dev.bergamotwind.serving.placement

import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.catalogue.EngineProfile

/**
 * Orders that one engine id has not answered. Such an order may be carried out seconds later,
 * at the number of accepted orders that it names. Within one start of the engine that number has passed or is the
 * present one; after a restart under the same id the numbers begin anew and reach it once more. Used on the serving
 * loop.
 */
internal class UnansweredOrders(private val loop: ServingLoop) {
    private class Sent(val order: TargetOrder, val endMillis: Long)

    // An order is repeated as it was, so equal ones stand here side by side.
    private val sent = ArrayList<Sent>()

    /** True when none is left that may still take effect. */
    val isEmpty: Boolean
        get() {
            sent.removeIf { it.endMillis <= loop.nowMillis() }
            return sent.isEmpty()
        }

    /** [order] is on its way. */
    fun sent(order: TargetOrder) {
        sent += Sent(order, loop.nowMillis() + LATE_ORDER_MILLIS)
    }

    /** The engine has said what became of [order], as it was sent last. */
    fun answered(order: TargetOrder) {
        sent.indexOfLast { it.order == order }.takeIf { it >= 0 }?.let(sent::removeAt)
    }

    /** True when the engine of [seat] has room, once it has accepted [order], for what may still take effect. */
    fun leaveRoom(order: TargetOrder, seat: EngineState, profile: EngineProfile?): Boolean {
        val size = profile?.models?.get(order.model) ?: return true
        val isLoad = order.kind == OrderKind.LOAD
        val isAdapter = order.adapter != null
        val taken = when {
            isLoad -> megabytes(order, profile)

            isAdapter -> 0.0

            // The seat no longer lists the model that is about to be dropped.
            else -> size.weightsMegabytes + profile.adapterCapacity * size.adapterMegabytes
        }
        val adapters = seat.adapterCount + if (isLoad && isAdapter) 1 else 0
        return fitFrom(order.acceptedOrders + 1, adapters, seat.freeMegabytes(profile) - taken, profile)
    }

    /**
     * True when an engine that has accepted [acceptedOrders], with [adapters] adapters and [freeMegabytes] free, has
     * room for all orders that may still take effect there. Each needs its own number, and one that is carried out
     * lets the one with the next number follow.
     */
    private fun fitFrom(acceptedOrders: Long, adapters: Int, freeMegabytes: Double, profile: EngineProfile): Boolean {
        if (isEmpty) return true
        var number = acceptedOrders
        var megabytes = 0.0
        var places = 0
        while (true) {
            val possible = sent.map { it.order }.filter { it.acceptedOrders == number }
            if (possible.isEmpty()) break
            megabytes += possible.maxOf { megabytes(it, profile) }
            if (possible.any { it.kind == OrderKind.LOAD && it.adapter != null }) places++
            number++
        }
        return number == acceptedOrders ||
            (megabytes <= freeMegabytes && (places == 0 || adapters + places <= profile.adapterCapacity))
    }

    private fun megabytes(order: TargetOrder, profile: EngineProfile): Double {
        val model = profile.models[order.model]
        if (model == null || order.kind == OrderKind.UNLOAD) return 0.0
        return if (order.adapter == null) model.weightsMegabytes else model.adapterMegabytes
    }
}
