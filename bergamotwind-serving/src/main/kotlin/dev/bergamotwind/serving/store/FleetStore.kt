package dev.bergamotwind.serving.store

/** Client of the platform's store. Calls return at once; replies arrive on the serving loop, exactly once. */
public interface FleetStore {
    /**
     * Called with the era that an answer names, or null, before the reply to the call; when it returns false, the reply
     * is [StoreFailure.UNKNOWN].
     */
    public var onEra: ((StoreEra?) -> Boolean)?

    /** Reads a page of the items whose keys start with [prefix] and sort after [after]. */
    public fun readRange(prefix: String, after: String?, reply: StoreReply<StorePage>)

    /**
     * Waits up to [waitMillis] for changes under [prefix] after revision [after]; calling the result cancels the call.
     */
    public fun watch(prefix: String, after: Long, waitMillis: Long, reply: StoreReply<StoreChanges>): () -> Unit

    /** Applies [write] atomically if its conditions hold; replies with the revision of the change. */
    public fun write(write: StoreWrite, reply: StoreReply<Long>)

    /** Grants a lease. */
    public fun grantLease(timeToLiveMillis: Long, reply: StoreReply<StoreLease>)

    /** Renews [lease]; replies with its time to live, counted from before the call was sent. */
    public fun renewLease(lease: Long, reply: StoreReply<Long>)

    /** Revokes [lease] and removes its items. */
    public fun revokeLease(lease: Long, reply: StoreReply<Unit>)
}
