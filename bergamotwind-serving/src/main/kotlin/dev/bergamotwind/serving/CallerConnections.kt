package dev.bergamotwind.serving

/** The connections of callers, as far as a stop concerns them. */
public fun interface CallerConnections {
    /** Ends the connections that have no request. */
    public fun closeIdle()
}
