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

/** One caller's request while this node works on it. */
internal class RequestSession(
    val id: RequestId,
    val access: AccessGrant,
    private val idempotent: Boolean,
    private val parts: ServingParts,
) {
    private val startedNanos = parts.clock.monotonicNanos()
    private val deadlineNanos = startedNanos + parts.limits.requestTimeout.inWholeNanoseconds

    private var attemptNanos = startedNanos

    /** Follows whether the request has run. */
    val tracker = RequestTracker(id, idempotent, parts.monitor)

    /** Time left until the deadline, at least one millisecond. */
    val remainingMillis: Long
        get() = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - parts.clock.monotonicNanos()).coerceAtLeast(1)

    /** Time since the request arrived. */
    val age: Duration get() = (parts.clock.monotonicNanos() - startedNanos).nanoseconds

    /** Records an event about this request. */
    fun event(kind: String, addFields: EventFieldsBuilder.() -> Unit = {}) {
        parts.recorder.event("request.$kind", id) {
            field("team", access.team)
            addFields()
        }
    }

    /** Waits for admission within the team's rate and its turn in the queue. */
    suspend fun admit(estimate: Tokens): Either<Failure, AdmittedRequest> {
        tracker.markQueued()
        val request = AdmissionRequest(id, access.team, estimate.value, deadlineNanos, reauthorize = ::recheck)
        return suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { parts.admission.cancel(id) }
            parts.admission.submit(request) { decision ->
                continuation.resume(decision) { _, late, _ -> late.onRight { it.settle(0) } }
            }
        }
    }

    /** Checks that the key still holds and that this node may start new work. */
    fun recheck(): Either<Failure, Unit> =
        parts.authenticator().reauthorize(access, parts.applied.freshnessAge(parts.clock.monotonicNanos()))

    /**
     * Has [attempt] try targets for [need] one after another until it succeeds or must not be repeated. Another target
     * is tried if the request has certainly not run, or if it is idempotent and the retry budget allows it.
     */
    suspend fun <T> tryTargets(
        need: TargetRequirement,
        prefixHash: String? = null,
        attempt: suspend (TargetChoice) -> Either<Failure, T>,
    ): Either<Failure, T> {
        val tried = mutableSetOf<TargetId>()
        var result: Either<Failure, T>? = null
        parts.retries.recordCall()
        do {
            val query = TargetQuery(need, parts.failureDomain, parts.region, prefixHash, tried)
            val choice = recheck().flatMap { parts.selector.select(query) }.fold({ return result ?: it.left() }, { it })
            tried += choice.target.id
            result = attempt(choice)
        } while (tried.size < MAXIMUM_ATTEMPTS && result.leftOrNull()?.let(::mayTryAgain) == true)
        return result
    }

    /** Notes that an attempt at [choice] begins; false if it must not be sent. */
    fun beginAttempt(choice: TargetChoice): Either<Failure, Unit> {
        if (!tracker.beginSend()) return Failure.Conflict("request $id must not be sent again").left()
        attemptNanos = parts.clock.monotonicNanos()
        parts.table.recordCallStart(choice.target.id)
        event("sent") { field("target", choice.target.id) }
        return Unit.right()
    }

    /** Notes that the attempt at [target] ended. */
    fun endAttempt(target: TargetId, outcome: CallOutcome) {
        parts.table.recordCallEnd(target, outcome)
        event("attempt_ended") {
            field("target", target)
            field("outcome", outcome.name.lowercase())
        }
    }

    private fun mayTryAgain(failure: Failure): Boolean = when {
        failure is Failure.Invalid -> false
        tracker.outcome == RunOutcome.NOT_RUN -> true
        else -> parts.retries.tryAcquireRetry(idempotent)
    }

    /** Notes that [target] has begun to answer. */
    fun answering(target: TargetId) {
        tracker.markAnswering()
        parts.table.recordFirstToken(target, (parts.clock.monotonicNanos() - attemptNanos).nanoseconds)
    }

    /** Ends the request with [failure]; returns the failure to report, which says truly whether it has run. */
    fun refused(failure: Failure): Failure {
        val reported = tracker.endWithFailure(failure)
        event("refused") {
            field("error", reported.code)
            field("run", tracker.outcome.label)
        }
        return reported
    }
}
