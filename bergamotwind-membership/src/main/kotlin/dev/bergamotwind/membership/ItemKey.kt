package dev.bergamotwind.membership

/** Identifies one item of a digest. [kind] is a constant of [ItemKinds]; [names] are the parts of the key. */
internal data class ItemKey(val kind: Int, val names: List<String>)
