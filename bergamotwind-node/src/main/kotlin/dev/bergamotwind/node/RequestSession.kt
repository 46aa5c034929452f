package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.admission.AccessGrant
import dev.bergamotwind.admission.AdmissionRequest
import dev.bergamotwind.admission.AdmittedRequest
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.core.EventFieldsBuilder
import dev.bergamotwind.core.event
import dev.bergamotwind.routing.CallOutcome
import dev.bergamotwind.routing.RequestTracker
import dev.bergamotwind.routing.TargetChoice
import dev.bergamotwind.routing.TargetQuery
import dev.bergamotwind.routing.TargetRequirement
import kotlinx.coroutines.suspendCancellableCoroutine
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** A caller's request in progress: its admission, its attempts at targets and its events. */
internal class RequestSession(
    val id: RequestId,
    val access: AccessGrant,
    private val idempotent: Boolean,
    private val dependencies: HandlerDependencies,
) {
    private val startedNanos = dependencies.clock.monotonicNanos()
    private val deadlineNanos = startedNanos + dependencies.limits.requestTimeout.inWholeNanoseconds

    private var attemptStartNanos = startedNanos

    /** Tracks whether the request has run. */
    val tracker = RequestTracker(id, idempotent, dependencies.monitor)

    /** Time left until the deadline, at least one millisecond. */
    val remainingMillis: Long
        get() = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - dependencies.clock.monotonicNanos()).coerceAtLeast(1)

    /** Time since the request arrived. */
    val elapsed: Duration get() = (dependencies.clock.monotonicNanos() - startedNanos).nanoseconds

    /** Records an event about this request. */
    fun event(kind: String, addFields: EventFieldsBuilder.() -> Unit = {}) {
        dependencies.recorder.event("request.$kind", id) {
            field("team", access.team)
            addFields()
        }
    }

    /** Waits until the admission controller admits the request under the team's rate limit, or refuses it. */
    suspend fun admit(estimate: Tokens): Either<Failure, AdmittedRequest> {
        tracker.markQueued()
        val request = AdmissionRequest(id, access.team, estimate.value, deadlineNanos, reauthorize = ::reauthorize)
        return suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { dependencies.admission.cancel(id) }
            dependencies.admission.submit(request) { decision ->
                continuation.resume(decision) { _, late, _ -> late.onRight { it.settle(0) } }
            }
        }
    }

    /** Checks that the key is still valid and that the configuration of this node is fresh enough to rely on it. */
    fun reauthorize(): Either<Failure, Unit> = dependencies.authenticator().reauthorize(
        access,
        dependencies.appliedConfiguration.freshnessAge(dependencies.clock.monotonicNanos()),
    )

    /**
     * Calls [attempt] for one target after another that meets [requirement], until it succeeds or must not be retried.
     * Retries if the request has certainly not run, or if it is idempotent and the retry budget allows it.
     */
    suspend fun <T> tryTargets(
        requirement: TargetRequirement,
        prefixHash: String? = null,
        attempt: suspend (TargetChoice) -> Either<Failure, T>,
    ): Either<Failure, T> {
        val tried = mutableSetOf<TargetId>()
        var result: Either<Failure, T>? = null
        dependencies.retryBudget.recordCall()
        do {
            val query = TargetQuery(requirement, dependencies.failureDomain, dependencies.region, prefixHash, tried)
            val choice = reauthorize().flatMap { dependencies.targetSelector.select(query) }.fold({
                return result
                    ?: it.left()
            }, { it })
            tried += choice.target.id
            result = attempt(choice)
        } while (tried.size < MAXIMUM_TARGET_ATTEMPTS && result.leftOrNull()?.let(::mayRetry) == true)
        return result
    }

    /** Records the start of an attempt at [choice]; fails if the request must not be sent again. */
    fun beginAttempt(choice: TargetChoice): Either<Failure, Unit> {
        if (!tracker.beginSend()) return Failure.Conflict("request $id must not be sent again").left()
        attemptStartNanos = dependencies.clock.monotonicNanos()
        dependencies.targetTable.recordCallStart(choice.target.id)
        event("sent") { field("target", choice.target.id) }
        return Unit.right()
    }

    /** Records the end of the attempt at [target]. */
    fun endAttempt(target: TargetId, outcome: CallOutcome) {
        dependencies.targetTable.recordCallEnd(target, outcome)
        event("attempt_ended") {
            field("target", target)
            field("outcome", outcome.name.lowercase())
        }
    }

    private fun mayRetry(failure: Failure): Boolean = when {
        failure is Failure.Invalid -> false
        tracker.outcome == RunOutcome.NOT_RUN -> true
        else -> dependencies.retryBudget.tryAcquireRetry(idempotent)
    }

    /** Records that [target] has begun to respond. */
    fun recordResponseStart(target: TargetId) {
        tracker.markAnswering()
        dependencies.targetTable.recordFirstToken(
            target,
            (dependencies.clock.monotonicNanos() - attemptStartNanos).nanoseconds,
        )
    }

    /** Ends the request with [failure]; returns the failure to report, with the actual execution outcome. */
    fun recordFailure(failure: Failure): Failure {
        val reported = tracker.endWithFailure(failure)
        event("refused") {
            field("error", reported.code)
            field("run", tracker.outcome.label)
        }
        return reported
    }
}
