package dev.bergamotwind.membership

/**
 * Writes items for one link. A name is sent once on a link and referred to by its number afterwards. Each item is a
 * header (kind, number of names, number of values), its names and its values.
 */
internal class ItemWriter {
    private val numbers = HashMap<String, Long>()

    val isFull: Boolean get() = numbers.size > NAME_LIMIT

    class Batch {
        val names = mutableListOf<String>()
        val items = mutableListOf<Long>()
        var bytes = 0
    }

    /** Adds unsent items of [cursor] to [batch] until it has about [maximumBytes]. */
    fun write(cursor: ItemCursor, batch: Batch, maximumBytes: Int, nowNanos: Long) {
        cursor.forEachUnsent { item ->
            (batch.bytes < maximumBytes).also { if (it) add(item, batch, nowNanos) }
        }
    }

    private fun add(item: Item, batch: Batch, nowNanos: Long) {
        val start = batch.items.size
        batch.items += header(item)
        for (name in item.key.names) {
            batch.items += numbers.getOrPut(name) {
                batch.names += name
                batch.bytes += name.length + 1
                numbers.size.toLong()
            }
        }
        if (item.values.isNotEmpty() && ItemKinds.hasAge(item.key.kind)) {
            batch.items += (nowNanos - item.observedNanos) / NANOS_PER_TENTH
        }
        batch.items += item.values
        batch.bytes += (batch.items.size - start) * TYPICAL_INTEGER_BYTES
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
