package dev.bergamotwind.membership

/**
 * Encodes items for one link. A name is sent once per link and afterwards referred to by its number. Each item is a
 * header (kind, number of names, number of values), its names and its values.
 */
internal class ItemWriter {
    private val nameNumbers = HashMap<String, Long>()

    val isNameTableFull: Boolean get() = nameNumbers.size > MAX_NAMES_PER_LINK

    class Batch {
        val newNames = mutableListOf<String>()
        val encodedItems = mutableListOf<Long>()
        var estimatedBytes = 0
    }

    /** Adds unsent items of [cursor] to [batch] until it has about [maximumBytes]. */
    fun writeUnsent(cursor: ItemCursor, batch: Batch, maximumBytes: Int, nowNanos: Long) {
        cursor.forEachUnsent { item ->
            (batch.estimatedBytes < maximumBytes).also { if (it) append(item, batch, nowNanos) }
        }
    }

    private fun append(item: DigestItem, batch: Batch, nowNanos: Long) {
        val start = batch.encodedItems.size
        batch.encodedItems += encodeHeader(item)
        for (name in item.key.names) {
            batch.encodedItems += nameNumbers.getOrPut(name) {
                batch.newNames += name
                batch.estimatedBytes += name.length + 1
                nameNumbers.size.toLong()
            }
        }
        if (item.values.isNotEmpty() && ItemKinds.hasAge(item.key.kind)) {
            batch.encodedItems += (nowNanos - item.observedNanos) / NANOS_PER_TENTH_SECOND
        }
        batch.encodedItems += item.values
        batch.estimatedBytes += (batch.encodedItems.size - start) * TYPICAL_INTEGER_BYTES
    }

    private fun encodeHeader(item: DigestItem): Long {
        val ageCount = if (item.values.isNotEmpty() && ItemKinds.hasAge(item.key.kind)) 1 else 0
        val valueCount = item.values.size + ageCount
        return ((item.key.kind * COUNT_RADIX + item.key.names.size) * COUNT_RADIX + valueCount).toLong()
    }

    companion object {
        /** Base in which the kind, the number of names and the number of values are packed into a header. */
        const val COUNT_RADIX: Int = 8
        const val NANOS_PER_TENTH_SECOND: Long = 100_000_000L
        private const val TYPICAL_INTEGER_BYTES = 2
    }
}
