package dev.bergamotwind.membership

/** Names one item of a digest. [kind] is a constant of [ItemKinds]; [names] are the parts of its key. */
internal data class ItemKey(val kind: Int, val names: List<String>)
