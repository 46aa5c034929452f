package dev.bergamotwind.membership

import java.util.TreeMap

/**
 * Items in the order of their last change, so that each link sends what changed since it sent last, the longest
 * unsent first, and an item that changed twice only once.
 */
internal class ItemStore {
    private val byKey = HashMap<ItemKey, Item>()
    private val byVersion = TreeMap<Long, Item>()
    private var version = 0L
    private var rotation = 0

    /** Makes [items] the whole content among the keys that [owned] selects. */
    fun replace(items: List<Item>, nowNanos: Long, owned: (ItemKey) -> Boolean) {
        // The start rotates: with too few bytes for all items, a fixed order would starve the last ones.
        val start = if (items.isEmpty()) 0 else rotation++ % items.size
        (items.drop(start) + items.take(start)).forEach { put(it, nowNanos) }
        val present = items.mapTo(HashSet()) { it.key }
        val gone = byKey.values.filter { owned(it.key) && it.key !in present && it.values.isNotEmpty() }
        gone.forEach { put(Item(it.key, emptyList(), nowNanos), nowNanos) }
        dropTombstones(nowNanos)
    }

    private fun put(item: Item, nowNanos: Long) {
        val previous = byKey[item.key]
        if (previous != null && previous.values == item.values && !isDue(previous, item, nowNanos)) return
        if (previous != null) byVersion.remove(previous.version)
        item.version = ++version
        item.changedNanos = nowNanos
        byKey[item.key] = item
        byVersion[item.version] = item
    }

    private fun isDue(previous: Item, item: Item, nowNanos: Long) = ItemKinds.hasAge(item.key.kind) &&
        item.observedNanos > previous.observedNanos &&
        nowNanos - previous.changedNanos > REFRESH_INTERVAL.inWholeNanoseconds

    private fun dropTombstones(nowNanos: Long) {
        val limit = nowNanos - TOMBSTONE_TIME.inWholeNanoseconds
        val old = byKey.values.filter { it.values.isEmpty() && it.changedNanos < limit }
        old.forEach {
            byKey.remove(it.key)
            byVersion.remove(it.version)
        }
    }

    /** Items changed after [version], in the order of change. */
    fun after(version: Long): Sequence<Item> = byVersion.tailMap(version, false).values.asSequence()
}
