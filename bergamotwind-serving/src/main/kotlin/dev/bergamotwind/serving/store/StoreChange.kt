package dev.bergamotwind.serving.store

/** A change of one key; [item] is null when the key was removed. */
public class StoreChange(
    /** Key that changed. */
    public val key: String,
    /** Revision of the change. */
    public val revision: Long,
    /** The item as written, or null. */
    public val item: StoreItem?,
)
