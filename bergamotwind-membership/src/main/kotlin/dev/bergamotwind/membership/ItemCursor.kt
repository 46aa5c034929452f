package dev.bergamotwind.membership

/**
 * Tracks which item versions of one store a link has sent. Slots are visited in turn, so that under a tight byte
 * limit an item that changes all the time delays no other item, and an item that changed twice since its last visit
 * is sent once.
 */
internal class ItemCursor(private val store: ItemStore) {
    private var sentVersions = LongArray(0)
    private var nextSlot = 0

    /** Passes unsent items to [write] as long as it returns true. */
    fun forEachUnsent(write: (DigestItem) -> Boolean) {
        if (sentVersions.size < store.slotCount) sentVersions = sentVersions.copyOf(store.slotCount)
        repeat(store.slotCount) {
            if (nextSlot >= store.slotCount) nextSlot = 0
            val item = store[nextSlot]
            if (item != null && item.version > sentVersions[nextSlot]) {
                if (!write(item)) return
                sentVersions[nextSlot] = item.version
            }
            nextSlot++
        }
    }
}
