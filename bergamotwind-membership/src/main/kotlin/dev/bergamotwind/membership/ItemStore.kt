package dev.bergamotwind.membership

/** Items in numbered slots. Each change of an item gets a new version, by which a link detects unsent changes. */
internal class ItemStore {
    private val slotByKey = HashMap<ItemKey, Int>()
    private val slots = ArrayList<DigestItem?>()
    private val freeSlots = ArrayDeque<Int>()
    private var lastVersion = 0L

    /** Replaces the whole content with [items]. */
    fun replaceAll(items: List<DigestItem>, nowNanos: Long) {
        items.forEach { put(it, nowNanos) }
        val present = items.mapTo(HashSet()) { it.key }
        val removed = slots.filter { it != null && it.values.isNotEmpty() && it.key !in present }
        removed.filterNotNull().forEach { put(DigestItem(it.key, emptyList(), nowNanos), nowNanos) }
        removeExpiredTombstones(nowNanos)
    }

    private fun put(item: DigestItem, nowNanos: Long) {
        val slot = slotByKey.getOrPut(item.key) { freeSlots.removeFirstOrNull() ?: slots.size.also { slots += null } }
        val previous = slots[slot]
        if (previous != null && previous.values == item.values && !isRefreshDue(previous, item, nowNanos)) return
        item.version = ++lastVersion
        item.changedNanos = nowNanos
        slots[slot] = item
    }

    private fun isRefreshDue(previous: DigestItem, item: DigestItem, nowNanos: Long) =
        ItemKinds.hasAge(item.key.kind) &&
            item.observedNanos > previous.observedNanos &&
            nowNanos - previous.changedNanos > LOAD_REFRESH_INTERVAL.inWholeNanoseconds

    private fun removeExpiredTombstones(nowNanos: Long) {
        val cutoffNanos = nowNanos - TOMBSTONE_RETENTION.inWholeNanoseconds
        slots.forEachIndexed { slot, item ->
            if (item != null && item.values.isEmpty() && item.changedNanos < cutoffNanos) {
                slotByKey.remove(item.key)
                slots[slot] = null
                freeSlots.addLast(slot)
            }
        }
    }

    /** Number of slots, of which some may be empty. */
    val slotCount: Int get() = slots.size

    /** The item in [slot], or null if the slot is empty. */
    operator fun get(slot: Int): DigestItem? = slots[slot]
}
