package dev.bergamotwind.serving.store

/** A value to write. */
public class StorePut(
    /** Key to write. */
    public val key: String,
    /** Value to write. */
    public val value: ByteArray,
    /** Lease to attach the item to, or 0. */
    public val lease: Long,
)
