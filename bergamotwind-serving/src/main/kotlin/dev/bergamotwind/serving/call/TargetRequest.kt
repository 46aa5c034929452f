package dev.bergamotwind.serving.call

import dev.bergamotwind.api.TeamId

/** One attempt to have a call answered by a target. */
public class TargetRequest(
    /** The call to forward. */
    public val call: Call,
    /** Milliseconds left for the answer. */
    public val remainingMillis: Long,
    /** Team for which the request runs, or null on open routes. */
    public val team: TeamId?,
    /** Rank among the requests of an engine, 0 is first; null leaves the engine's own. */
    public val urgency: Int?,
    /** The last event that the caller already has, or null. */
    public val lastEventId: Long?,
    /** Milliseconds that a new connection may take. */
    public val connectTimeoutMillis: Int,
    /** Longest time in milliseconds that a kept connection may have been idle. */
    public val reuseIdleMillis: Long,
)
