package dev.bergamotwind.serving.store

/** One item of the platform's store. */
public class StoreItem(
    /** Key of the item. */
    public val key: String,
    /** Value as it was written. */
    public val value: ByteArray,
    /** Revision of the last change. */
    public val revision: Long,
    /** Revision at which the item was created. */
    public val createRevision: Long,
    /** Lease to which the item is attached, or 0. */
    public val lease: Long,
)
