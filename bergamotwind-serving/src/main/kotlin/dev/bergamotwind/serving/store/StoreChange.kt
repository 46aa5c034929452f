package dev.bergamotwind.serving.store

/** A change of one key; [item] is null when the key was removed. */
public class StoreChange(
    /** Changed key. */
    public val key: String,
    /** Revision of the change. */
    public val revision: Long,
    /** The written item, or null after a removal. */
    public val item: StoreItem?,
)
