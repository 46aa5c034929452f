package dev.bergamotwind.admission

import arrow.core.Either
import arrow.core.right
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.TeamId

/**
 * A request to be admitted. [estimatedTokens] is the estimated prompt size plus the maximum output; [deadlineNanos] is
 * a time of the monotonic clock. [team] is null on a route that is open to all callers: such requests have no rate
 * limit and are queued together as one more team of weight 1. [priority] is for the engine only and does not affect
 * admission. [reauthorize] runs on the admission thread when the request leaves the queue and must not block; the node
 * checks there that the key has not been revoked in the meantime.
 */
public data class AdmissionRequest(
    val requestId: RequestId,
    val team: TeamId?,
    val estimatedTokens: Long,
    val deadlineNanos: Long,
    val priority: Int = 0,
    val reauthorize: () -> Either<Failure, Unit> = { Unit.right() },
)
