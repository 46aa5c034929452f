package dev.bergamotwind.serving.store

/** Receives the changes of items under a prefix. */
public interface StoreListener {
    /** Called when [item] is new or has changed; may be repeated. */
    public fun onItemWritten(item: StoreItem)

    /** Called when the item at [key] was removed. */
    public fun onKeyRemoved(key: String)

    /**
     * Called when the store has returned from a copy without the item at [key]. Nobody has removed the item; whoever
     * wrote it may write it again.
     */
    public fun onKeyLost(key: String)

    /** Called when all items have been read. */
    public fun onSynced()

    /**
     * Called when the store answers again after it did not for [outageMillis], as far as this VM knows, and before the
     * missed changes are reported.
     */
    public fun onStoreRecovered(outageMillis: Long)
}
