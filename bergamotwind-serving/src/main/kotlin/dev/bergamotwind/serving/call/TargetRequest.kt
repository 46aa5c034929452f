package dev.bergamotwind.serving.call

import dev.bergamotwind.api.TeamId

/** The request of one attempt at a target. */
public class TargetRequest(
    /** The call to forward. */
    public val call: Call,
    /** Milliseconds left for the response. */
    public val remainingMillis: Long,
    /** Team for which the request runs, or null on open routes. */
    public val team: TeamId?,
    /** Rank among the requests of an engine, 0 is first; null leaves the engine's default. */
    public val priority: Int?,
    /** Id of the last event that the caller already has, or null. */
    public val lastEventId: Long?,
    /** Milliseconds that opening a connection may take. */
    public val connectTimeoutMillis: Int,
    /** Longest idle time in milliseconds of a pooled connection that may be reused. */
    public val reuseIdleMillis: Long,
)
