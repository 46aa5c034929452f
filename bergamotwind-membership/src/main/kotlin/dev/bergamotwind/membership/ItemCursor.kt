package dev.bergamotwind.membership

/**
 * What one link has sent of one store. The slots are visited in turn, so that with too few bytes an item that
 * changes all the time delays no other one, and an item that changed twice in between is sent once.
 */
internal class ItemCursor(private val store: ItemStore) {
    private var sentVersions = LongArray(0)
    private var position = 0

    /** Passes unsent items to [write] as long as it returns true. */
    fun forEachUnsent(write: (Item) -> Boolean) {
        if (sentVersions.size < store.size) sentVersions = sentVersions.copyOf(store.size)
        repeat(store.size) {
            if (position >= store.size) position = 0
            val item = store[position]
            if (item != null && item.version > sentVersions[position]) {
                if (!write(item)) return
                sentVersions[position] = item.version
            }
            position++
        }
    }
}
