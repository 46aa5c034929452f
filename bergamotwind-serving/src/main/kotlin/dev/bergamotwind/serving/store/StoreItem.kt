package dev.bergamotwind.serving.store

/** One item of the platform's store. */
public class StoreItem(
    /** Key of the item. */
    public val key: String,
    /** Value as written. */
    public val value: ByteArray,
    /** Revision of the last change. */
    public val revision: Long,
    /** Revision of the creation. */
    public val createRevision: Long,
    /** Lease with which the item ends, or 0. */
    public val lease: Long,
)
