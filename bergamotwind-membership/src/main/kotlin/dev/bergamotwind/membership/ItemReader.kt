package dev.bergamotwind.membership

/** Decodes the items received on one link; the counterpart of [ItemWriter]. */
internal class ItemReader {
    private val names = ArrayList<String>()
    private val items = HashMap<ItemKey, DigestItem>()

    /** Applies a batch that was observed at [nowNanos] or before; fails if it refers to an unknown name. */
    fun readBatch(newNames: List<String>, batch: List<Long>, nowNanos: Long) {
        names += newNames
        if (names.size > 2 * MAX_NAMES_PER_LINK) throw LinkException("malformed", "the peer sends too many names")
        var position = 0
        while (position < batch.size) {
            val header = batch[position++].toInt()
            val kind = header / (ItemWriter.COUNT_RADIX * ItemWriter.COUNT_RADIX)
            val nameCount = header / ItemWriter.COUNT_RADIX % ItemWriter.COUNT_RADIX
            val valueCount = header % ItemWriter.COUNT_RADIX
            val end = position + nameCount + valueCount
            if (header < 0 || end > batch.size) throw LinkException("malformed", "an item is truncated")
            val key = ItemKey(kind, batch.subList(position, position + nameCount).map(::resolveName))
            applyItem(key, batch.subList(position + nameCount, end), nowNanos)
            position = end
        }
    }

    private fun applyItem(key: ItemKey, values: List<Long>, nowNanos: Long) {
        when {
            values.isEmpty() -> items.remove(key)

            ItemKinds.hasAge(key.kind) -> {
                val observedNanos = nowNanos - values[0] * ItemWriter.NANOS_PER_TENTH_SECOND
                items[key] = DigestItem(key, values.drop(1).toList(), observedNanos)
            }

            else -> items[key] = DigestItem(key, values.toList(), nowNanos)
        }
    }

    private fun resolveName(number: Long): String =
        names.getOrNull(number.toInt()) ?: throw LinkException("malformed", "an item has the unknown name $number")

    fun currentItems(): Collection<DigestItem> = items.values
}
