package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId
import kotlin.math.max

/** A request in a [FairQueue] of [T], with the tokens that it counts for. */
public class QueuedRequest<T> internal constructor(
    public val value: T,
    public val team: TeamId?,
    tokens: Long,
    public val deadlineNanos: Long,
) {
    internal val tokens = max(1, tokens)
    internal var queued = false
}
