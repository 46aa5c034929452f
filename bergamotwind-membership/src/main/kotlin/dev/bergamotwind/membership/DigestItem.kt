package dev.bergamotwind.membership

/**
 * Values of an item and the time on this node's clock at which they were observed. For kinds with an age, the age is
 * not among the [values]; it is added when the item is sent. An item without values is a tombstone.
 */
internal class DigestItem(val key: ItemKey, val values: List<Long>, val observedNanos: Long) {
    var version: Long = 0
    var changedNanos: Long = 0
}
