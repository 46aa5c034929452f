package dev.bergamotwind.serving.store

/** Items in the order of their keys; further ones follow when [hasMore]. */
public class StorePage(
    /** Items of this page. */
    public val items: List<StoreItem>,
    /** True when more items follow. */
    public val hasMore: Boolean,
    /** Revision of the store when the page was read. */
    public val revision: Long,
)
