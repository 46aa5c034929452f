package dev.bergamotwind.serving.store

/** Result of a watch; the next watch continues from [revision]. */
public class StoreChanges(
    /** Changes ordered by revision. */
    public val changes: List<StoreChange>,
    /** Revision up to which the changes are complete. */
    public val revision: Long,
)
