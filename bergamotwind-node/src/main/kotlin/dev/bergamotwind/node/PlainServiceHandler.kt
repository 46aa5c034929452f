package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import dev.bergamotwind.admission.AccessSubject
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.configuration.Route
import dev.bergamotwind.configuration.Sha256
import dev.bergamotwind.routing.CallOutcome
import dev.bergamotwind.routing.Claim
import dev.bergamotwind.routing.ClaimOutcome
import dev.bergamotwind.routing.RecordedAnswer
import dev.bergamotwind.routing.TargetChoice
import dev.bergamotwind.routing.TargetNeed
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext

/** Handles calls of plain services under `/services/ROUTE/...`. */
internal class PlainServiceHandler(parts: ServingParts) : CallerHandler(parts) {
    override suspend fun handle(call: Call) {
        prepare(call).fold({ call.response.fail(it) }) { prepared ->
            whileActive(call, prepared.session.access.digest) { serve(call, prepared) }
        }
    }

    private class Prepared(
        val route: Route,
        val path: String,
        val credential: String?,
        val body: AggregatedHttpRequest,
        val session: RequestSession,
    )

    private class Answer(val headers: ResponseHeaders, val body: HttpData)

    private suspend fun prepare(call: Call): Either<Failure, Prepared> = either {
        val authorization = call.request.headers().getAll(HttpHeaderNames.AUTHORIZATION)
        val credential = authorization.firstOrNull()?.substringAfter(' ')?.trim()?.ifEmpty { null }
        val target = ServicePath.parse(call.request.headers().path(), credential).bind()
        val freshness = parts.applied.freshnessAge(parts.clock.monotonicNanos())
        val subject = AccessSubject.NamedRoute(target.route)
        val access = parts.authenticator().authorize(authorization, subject, freshness).bind()
        readiness().bind()
        val route = parts.applied.current.routes[target.route]
            ?: raise(Failure.NotFound("there is no route ${target.route}", "Ask an operator for the routes."))
        val body = body(call).bind()
        if (credential != null && body.contentUtf8().contains(credential)) raise(credentialInBody())
        Prepared(route, target.path, credential, body, RequestSession(call.id, access, route.idempotent, parts))
    }

    private suspend fun serve(call: Call, prepared: Prepared) {
        val session = prepared.session
        session.event("received") { field("route", prepared.route.id) }
        val admitted = session.admit(Tokens(SERVICE_CALL_TOKENS)).getOrElseRefuse(session, call) ?: return
        try {
            val result = claimAndSend(call, prepared)
            result.fold({ refuse(session, call, it) }, { answer(session, call, it) })
        } finally {
            admitted.settle(if (session.tracker.outcome == RunOutcome.NOT_RUN) 0 else SERVICE_CALL_TOKENS)
        }
    }

    private suspend fun claimAndSend(call: Call, prepared: Prepared): Either<Failure, Answer> {
        val key = call.request.headers().get("idempotency-key")
        val team = prepared.session.access.team
        if (key == null || prepared.route.idempotent) return send(prepared, null)
        if (team == null) return Failure.Invalid("an Idempotency-Key needs a team", "Send a key, or leave it out.").left()
        val blocking = call.context.blockingTaskExecutor().withoutContext().asCoroutineDispatcher()
        val digest = Sha256.hex(prepared.body.method().name + " " + prepared.path + "\n" + prepared.body.contentUtf8())
        // The claim must not be abandoned half made when the caller leaves, so it is not cancellable.
        val outcome = withContext(NonCancellable + blocking) {
            parts.claims.claim(team, prepared.route.id, key, digest, call.id)
        }
        return outcome.flatMap {
            when (it) {
                is ClaimOutcome.AlreadyDone -> recorded(prepared.session, it.answer).right()

                is ClaimOutcome.Acquired -> withContext(NonCancellable) {
                    prepared.session.tracker.claimed()
                    sendClaimed(prepared, it.claim)
                }
            }
        }
    }

    // Runs to its end even if the caller leaves, so that a repeat finds the recorded answer.
    private suspend fun sendClaimed(prepared: Prepared, claim: Claim): Either<Failure, Answer> {
        val result = send(prepared, claim)
        withContext(parts.blocking) {
            when {
                result.isRight() -> result.onRight { parts.claims.complete(claim, it.toRecord()) }
                prepared.session.tracker.outcome == RunOutcome.NOT_RUN -> parts.claims.release(claim)
                else -> parts.claims.markUnknown(claim)
            }
        }
        return result
    }

    private suspend fun send(prepared: Prepared, claim: Claim?): Either<Failure, Answer> {
        val session = prepared.session
        val tried = mutableSetOf<TargetId>()
        var last: Failure = Failure.Unavailable("no target was tried")
        parts.retries.countCall()
        while (tried.size < MAXIMUM_ATTEMPTS) {
            val choice = session.recheck().flatMap { session.select(TargetNeed.Service(prepared.route.id), null, tried) }
                .fold({ return if (tried.isEmpty()) it.left() else last.left() }, { it })
            tried += choice.target.id
            if (claim != null && tried.size == 1) claim.beginSend().onLeft { return it.left() }
            val outcome = attempt(prepared, choice)
            outcome.onRight { return it.right() }
            last = outcome.leftOrNull()!!
            if (!prepared.route.idempotent || !parts.retries.tryRetry()) return last.left()
        }
        return last.left()
    }

    private suspend fun attempt(prepared: Prepared, choice: TargetChoice): Either<Failure, Answer> {
        val session = prepared.session
        session.beginAttempt(choice).onLeft { return it.left() }
        var outcome = CallOutcome.CANCELLED
        try {
            val result = exchange(prepared, choice)
            outcome = result.fold({ CallOutcome.FAILED }, ::outcomeOf)
            return result
        } catch (cancelled: CancellationException) {
            outcome = CallOutcome.CANCELLED
            throw cancelled
        } finally {
            session.endAttempt(choice.target.id, outcome)
        }
    }
}
