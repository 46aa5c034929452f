package dev.bergamotwind.serving

/** The open connections of callers, as needed for a graceful shutdown. */
public fun interface CallerConnections {
    /** Closes the connections that have no running request. */
    public fun closeIdle()
}
