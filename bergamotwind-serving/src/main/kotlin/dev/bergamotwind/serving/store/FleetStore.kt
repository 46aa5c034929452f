package dev.bergamotwind.serving.store

/** The platform's store. Calls return at once; replies arrive on the serving loop, exactly once. */
public interface FleetStore {
    /** Reads the items whose keys begin with [prefix] and follow [after]. */
    public fun range(prefix: String, after: String?, reply: StoreReply<StorePage>)

    /** Waits up to [waitMillis] for changes under [prefix] later than [after]; the result cancels the call. */
    public fun watch(prefix: String, after: Long, waitMillis: Long, reply: StoreReply<StoreChanges>): () -> Unit

    /** Makes the changes of [write] if its conditions hold; replies with the revision of the change. */
    public fun write(write: StoreWrite, reply: StoreReply<Long>)

    /** Grants a lease. */
    public fun grant(timeToLiveMillis: Long, reply: StoreReply<StoreLease>)

    /** Renews [lease]; replies with its time to live, which counts from before the call was sent. */
    public fun renew(lease: Long, reply: StoreReply<Long>)

    /** Ends [lease] and removes its items. */
    public fun end(lease: Long, reply: StoreReply<Unit>)
}
