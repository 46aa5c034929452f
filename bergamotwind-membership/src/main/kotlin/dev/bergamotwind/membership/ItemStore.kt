package dev.bergamotwind.membership

/** Items in slots. Each change of an item has a version, by which a link sees what it has not sent yet. */
internal class ItemStore {
    private val slotByKey = HashMap<ItemKey, Int>()
    private val slots = ArrayList<Item?>()
    private val free = ArrayDeque<Int>()
    private var version = 0L

    /** Makes [items] the whole content. */
    fun replace(items: List<Item>, nowNanos: Long) {
        items.forEach { put(it, nowNanos) }
        val present = items.mapTo(HashSet()) { it.key }
        val gone = slots.filter { it != null && it.values.isNotEmpty() && it.key !in present }
        gone.filterNotNull().forEach { put(Item(it.key, emptyList(), nowNanos), nowNanos) }
        dropTombstones(nowNanos)
    }

    private fun put(item: Item, nowNanos: Long) {
        val slot = slotByKey.getOrPut(item.key) { free.removeFirstOrNull() ?: slots.size.also { slots += null } }
        val previous = slots[slot]
        if (previous != null && previous.values == item.values && !isDue(previous, item, nowNanos)) return
        item.version = ++version
        item.changedNanos = nowNanos
        slots[slot] = item
    }

    private fun isDue(previous: Item, item: Item, nowNanos: Long) = ItemKinds.hasAge(item.key.kind) &&
        item.observedNanos > previous.observedNanos &&
        nowNanos - previous.changedNanos > REFRESH_INTERVAL.inWholeNanoseconds

    private fun dropTombstones(nowNanos: Long) {
        val limit = nowNanos - TOMBSTONE_TIME.inWholeNanoseconds
        slots.forEachIndexed { slot, item ->
            if (item != null && item.values.isEmpty() && item.changedNanos < limit) {
                slotByKey.remove(item.key)
                slots[slot] = null
                free.addLast(slot)
            }
        }
    }

    /** Number of slots, of which some may be empty. */
    val size: Int get() = slots.size

    /** The item in [slot], or null when the slot is empty. */
    operator fun get(slot: Int): Item? = slots[slot]
}
