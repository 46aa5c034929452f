package dev.bergamotwind.serving.store

/** Hears the items under a prefix. */
public interface StoreListener {
    /** [item] is new or has changed; may be repeated. */
    public fun written(item: StoreItem)

    /** The item at [key] is gone. */
    public fun removed(key: String)

    /** All items have been read once. */
    public fun caughtUp()

    /**
     * The store answers again after it did not for [silentMillis], as far as this VM knows; called before the changes
     * that were missed.
     */
    public fun regained(silentMillis: Long)
}
