package dev.bergamotwind.admission

import arrow.core.Either
import arrow.core.right
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.TeamId

/**
 * A request to be admitted. [estimatedTokens] is the prompt estimate plus the maximum output; [deadlineNanos] is on
 * the monotonic clock. [team] is null on a route that is open to all: such requests have no rate and share the queue
 * as one more team of weight 1. [priority] is for the engine only. [recheck] runs on the admission thread when the
 * request leaves the queue and must not block; the node checks there that the key has not been revoked meanwhile.
 */
public data class AdmissionRequest(
    val requestId: RequestId,
    val team: TeamId?,
    val estimatedTokens: Long,
    val deadlineNanos: Long,
    val priority: Int = 0,
    val recheck: () -> Either<Failure, Unit> = { Unit.right() },
)
