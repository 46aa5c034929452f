package dev.bergamotwind.api

/** Receives the changes of a watch, on a thread of the adapter. */
public interface WatchListener {
    /** Called with records written, in order of revision. */
    public fun written(entries: List<KeyValueEntry>)

    /** Called once when the watch has ended, for whatever reason; the receiver reads again and starts a new watch. */
    public fun ended()
}
