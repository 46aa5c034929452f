package dev.bergamotwind.serving

/** The open connections of callers, as needed for a graceful shutdown. */
public interface CallerConnections {
    /** True while an answer has not been handed to the network as a whole, because its caller reads slowly. */
    public val hasUnsentAnswers: Boolean

    /** Closes the connections that have no running request. */
    public fun closeIdle()
}
