package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.peer.EndedTerm

/**
 * The orders of earlier holders that may have reached engines within the hand-over time, and how long this holder gives
 * those engines no order. Engines that an announcement does not list may have been ordered by an earlier process of the
 * announcing VM, which has left no record of its orders. Used on the serving loop.
 */
internal class PredecessorOrders(private val handOverMillis: Long) {
    private var earliestMillisByEngine = emptyMap<TargetId, Long>()
    private var otherEnginesMillis = 0L

    /** Time at which all engines may get orders. */
    val endMillis: Long get() = maxOf(otherEnginesMillis, earliestMillisByEngine.values.maxOrNull() ?: 0)

    /** Time before which [engine] gets no order. */
    fun earliestOrderMillis(engine: TargetId): Long = earliestMillisByEngine[engine] ?: otherEnginesMillis

    /** Forgets all orders, because the whole hand-over time has passed or passes before the first order. */
    fun clear() {
        earliestMillisByEngine = emptyMap()
        otherEnginesMillis = 0
    }

    /** Takes over the orders of the term that [end] announced at [announcedMillis]. */
    fun replaceBy(end: EndedTerm, announcedMillis: Long) {
        earliestMillisByEngine = end.orderAges.mapValues { announcedMillis + handOverMillis - it.value }
        otherEnginesMillis = end.otherOrdersAge?.let { announcedMillis + handOverMillis - it } ?: 0
    }

    /** Ages of the last orders to single engines that still matter at [nowMillis]. */
    fun ages(nowMillis: Long): Map<TargetId, Long> =
        earliestMillisByEngine.filterValues { it > nowMillis }.mapValues { (_, earliest) -> age(earliest, nowMillis) }

    /** Age of the last order that an engine without an age of its own may have got, or null if it matters no more. */
    fun otherAge(nowMillis: Long): Long? = otherEnginesMillis.takeIf { it > nowMillis }?.let { age(it, nowMillis) }

    private fun age(earliestMillis: Long, nowMillis: Long) = handOverMillis - (earliestMillis - nowMillis)
}
