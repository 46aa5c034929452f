package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId
import kotlin.math.max

/** An entry of a [FairQueue]: a request of type [T] and its cost in tokens. */
public class QueuedRequest<T> internal constructor(
    public val value: T,
    public val team: TeamId?,
    tokens: Long,
    public val deadlineNanos: Long,
) {
    internal val tokens = max(1, tokens)
    internal var queued = false
}
