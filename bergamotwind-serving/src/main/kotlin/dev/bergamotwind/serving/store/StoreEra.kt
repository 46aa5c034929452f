package dev.bergamotwind.serving.store

/**
 * The time between two returns of the store from an older copy. Revisions, leases and their ids that were given out in
 * one era mean nothing in another one: they may be gone, or given out again.
 */
@JvmInline
public value class StoreEra(public val number: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    /** Known eras. */
    public companion object {
        /** The era of a store that does not name one. */
        public val UNNAMED: StoreEra = StoreEra(0)
    }
}
