package dev.bergamotwind.serving.store

/** One page of items ordered by key; [hasMore] tells whether another page follows. */
public class StorePage(
    /** Items of this page. */
    public val items: List<StoreItem>,
    /** True when another page follows. */
    public val hasMore: Boolean,
    /** Revision of the store when the page was read. */
    public val revision: Long,
)
