package dev.bergamotwind.serving.store

/**
 * The time between two returns of the store from an older copy. Revisions, leases and their ids that were given out in
 * one era mean nothing in another one: they may be gone, or given out again.
 */
@JvmInline
public value class StoreEra(public val number: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    /**
     * Returns the term of a holder whose item was created at [revision] of this era. Terms grow with the revisions of
     * an era, and are higher in a later era than in an earlier one.
     */
    public fun term(revision: Long): Long = (number shl REVISION_BITS) + revision

    /** Known eras. */
    public companion object {
        /** The era of a store that does not name one. */
        public val UNNAMED: StoreEra = StoreEra(0)

        /** Enough for 80 years of 400 writes a second; the terms of 8,192 eras are whole numbers in JSON. */
        private const val REVISION_BITS = 40
    }
}
