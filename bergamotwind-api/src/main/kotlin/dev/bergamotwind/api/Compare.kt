package dev.bergamotwind.api

/** A condition of a [Transaction]. */
public sealed interface Compare {
    /** The record that is compared. */
    public val key: String

    /** Holds when no record has [key]. */
    public data class Absent(override val key: String) : Compare

    /** Holds when the record was last changed at [revision]. */
    public data class ModifiedAt(override val key: String, val revision: Revision) : Compare

    /** Holds when the record exists and was created at [revision]. */
    public data class CreatedAt(override val key: String, val revision: Revision) : Compare
}
