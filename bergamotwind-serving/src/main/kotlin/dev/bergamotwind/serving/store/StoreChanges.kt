package dev.bergamotwind.serving.store

/** Changes in their order; the watch continues from [revision]. */
public class StoreChanges(
    /** Changes in the order of their revisions. */
    public val changes: List<StoreChange>,
    /** Revision up to which the changes are complete. */
    public val revision: Long,
)
