package dev.bergamotwind.membership

/**
 * Writes items of one store for one link. A name is sent once on a link and referred to by its number afterwards.
 * Each item is a header (kind, number of names, number of values), its names and its values.
 */
internal class ItemWriter {
    private val numbers = HashMap<String, Long>()
    private var sentVersion = 0L

    val isFull: Boolean get() = numbers.size > NAME_LIMIT

    class Batch(val names: List<String>, val items: List<Long>)

    /** Returns what changed in [store] since the last batch, up to about [maximumBytes]. */
    fun next(store: ItemStore, maximumBytes: Int, nowNanos: Long): Batch {
        val names = mutableListOf<String>()
        val items = mutableListOf<Long>()
        var bytes = 0
        for (item in store.after(sentVersion)) {
            if (bytes >= maximumBytes) break
            sentVersion = item.version
            val start = items.size
            items += header(item)
            for (name in item.key.names) {
                items += numbers.getOrPut(name) {
                    names += name
                    bytes += name.length + 1
                    numbers.size.toLong()
                }
            }
            if (item.values.isNotEmpty() && ItemKinds.hasAge(item.key.kind)) {
                items += (nowNanos - item.observedNanos) / NANOS_PER_TENTH
            }
            items += item.values
            bytes += (items.size - start) * TYPICAL_INTEGER_BYTES
        }
        return Batch(names, items)
    }

    private fun header(item: Item): Long {
        val age = if (item.values.isNotEmpty() && ItemKinds.hasAge(item.key.kind)) 1 else 0
        return ((item.key.kind * ARITY + item.key.names.size) * ARITY + item.values.size + age).toLong()
    }

    companion object {
        const val ARITY: Int = 8
        const val NANOS_PER_TENTH: Long = 100_000_000L
        private const val TYPICAL_INTEGER_BYTES = 2
    }
}
