package dev.bergamotwind.membership

/** Reads the items of one link; the counterpart of [ItemWriter]. */
internal class ItemReader {
    private val names = ArrayList<String>()
    private val items = HashMap<ItemKey, Item>()

    /** Takes over a batch that was true at [nowNanos] or before; fails when it refers to an unknown name. */
    fun read(newNames: List<String>, batch: List<Long>, nowNanos: Long) {
        names += newNames
        if (names.size > 2 * NAME_LIMIT) throw LinkException("malformed", "the peer sends too many names")
        var position = 0
        while (position < batch.size) {
            val header = batch[position++].toInt()
            val kind = header / (ItemWriter.ARITY * ItemWriter.ARITY)
            val nameCount = header / ItemWriter.ARITY % ItemWriter.ARITY
            val valueCount = header % ItemWriter.ARITY
            val end = position + nameCount + valueCount
            if (header < 0 || end > batch.size) throw LinkException("malformed", "an item is cut off")
            val key = ItemKey(kind, batch.subList(position, position + nameCount).map(::nameOf))
            store(key, batch.subList(position + nameCount, end), nowNanos)
            position = end
        }
    }

    private fun store(key: ItemKey, values: List<Long>, nowNanos: Long) {
        when {
            values.isEmpty() -> items.remove(key)

            ItemKinds.hasAge(key.kind) ->
                items[key] = Item(key, values.drop(1).toList(), nowNanos - values[0] * ItemWriter.NANOS_PER_TENTH)

            else -> items[key] = Item(key, values.toList(), nowNanos)
        }
    }

    private fun nameOf(number: Long): String =
        names.getOrNull(number.toInt()) ?: throw LinkException("malformed", "an item has the unknown name $number")

    fun all(): Collection<Item> = items.values
}
