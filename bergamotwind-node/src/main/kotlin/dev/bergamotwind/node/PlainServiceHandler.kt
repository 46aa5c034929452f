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
import com.linecorp.armeria.common.ResponseHeaders
import dev.bergamotwind.admission.RequestedResource
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.configuration.Route
import dev.bergamotwind.configuration.sha256
import dev.bergamotwind.routing.CallOutcome
import dev.bergamotwind.routing.Claim
import dev.bergamotwind.routing.ClaimOutcome
import dev.bergamotwind.routing.RecordedAnswer
import dev.bergamotwind.routing.TargetChoice
import dev.bergamotwind.routing.TargetRequirement
import kotlinx.coroutines.NonCancellable
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

    private suspend fun prepare(call: Call): Either<Failure, Prepared> = either {
        val authorization = call.request.headers().getAll(HttpHeaderNames.AUTHORIZATION)
        val credential = credentialOf(authorization)
        val target = ServicePath.parse(call.request.headers().path(), credential).bind()
        val freshness = parts.applied.freshnessAge(parts.clock.monotonicNanos())
        val subject = RequestedResource.NamedRoute(target.route)
        val access = parts.authenticator().authorize(authorization, subject, freshness).bind()
        readiness().bind()
        val route = parts.applied.current.routes[target.route]
            ?: raise(Failure.NotFound("there is no route ${target.route}", "Ask an operator for the routes."))
        val body = body(call).bind()
        checkBody(body.contentUtf8(), credential).bind()
        Prepared(route, target.path, credential, body, RequestSession(call.id, access, route.idempotent, parts))
    }

    private suspend fun serve(call: Call, prepared: Prepared) {
        val session = prepared.session
        session.event("received") { field("route", prepared.route.id) }
        val admitted = session.admit(Tokens(SERVICE_CALL_TOKENS))
            .fold({ return call.response.fail(session.refused(it)) }, { it })
        try {
            claimAndSend(call, prepared).fold({ call.response.fail(session.refused(it)) }, { session.answer(call, it) })
        } finally {
            admitted.settle(if (session.tracker.outcome == RunOutcome.NOT_RUN) 0 else SERVICE_CALL_TOKENS)
        }
    }

    private suspend fun claimAndSend(call: Call, prepared: Prepared): Either<Failure, Answer> {
        val key = call.request.headers().get("idempotency-key")
        val team = prepared.session.access.team
        if (key == null || prepared.route.idempotent) return send(prepared, null)
        if (team == null) {
            return Failure.Invalid("an Idempotency-Key needs a team", "Send a key, or leave it out.").left()
        }
        val digest = sha256("${prepared.body.method()} ${prepared.path}\n${prepared.body.contentUtf8()}")
        // Not cancellable: a claim must not be left half made, and a repeat finds the answer of a call that was sent.
        return withContext(NonCancellable) {
            withContext(parts.blocking) { parts.claims.claim(team, prepared.route.id, key, digest, call.id) }.flatMap {
                when (it) {
                    is ClaimOutcome.AlreadyDone -> recorded(prepared.session, it.answer).right()
                    is ClaimOutcome.Acquired -> sendClaimed(prepared, it.claim)
                }
            }
        }
    }

    private suspend fun sendClaimed(prepared: Prepared, claim: Claim): Either<Failure, Answer> {
        prepared.session.tracker.markClaimed()
        val result = send(prepared, claim)
        withContext(parts.blocking) {
            result.fold(
                {
                    val unsent = prepared.session.tracker.outcome == RunOutcome.NOT_RUN
                    if (unsent) parts.claims.release(claim) else parts.claims.markUnknown(claim)
                },
                { parts.claims.complete(claim, it.toRecord()) },
            )
        }
        return result
    }

    private suspend fun send(prepared: Prepared, claim: Claim?): Either<Failure, Answer> =
        prepared.session.tryTargets(TargetRequirement.Service(prepared.route.id)) { attempt(prepared, it, claim) }

    private suspend fun attempt(prepared: Prepared, choice: TargetChoice, claim: Claim?): Either<Failure, Answer> {
        val session = prepared.session
        claim?.beginSend()?.onLeft { return it.left() }
        session.beginAttempt(choice).onLeft { return it.left() }
        var outcome = CallOutcome.CANCELLED
        try {
            val result = exchange(prepared, choice)
            outcome = result.fold({ CallOutcome.FAILED }, { CallOutcome.ANSWERED })
            val refusal = result.leftOrNull()
            if (refusal is Failure.TargetRefused) outcome = CallOutcome.DRAINING
            if (refusal?.run == RunOutcome.NOT_RUN) {
                session.tracker.markNotExecuted()
                claim?.markNotExecuted()
            }
            return result
        } finally {
            session.endAttempt(choice.target.id, outcome)
        }
    }

    private suspend fun exchange(prepared: Prepared, choice: TargetChoice): Either<Failure, Answer> {
        val session = prepared.session
        val received = prepared.body.headers()
        val headers = ForwardedHeaders.toTarget(received, prepared.path, session.id, prepared.credential)
        val content = prepared.body.content()
        return parts.client
            .open(choice.target.address, headers, content, prepared.route.idempotent, session.remainingMillis)
            .flatMap { answer ->
                if (answer.isDraining) {
                    answer.abort()
                    Failure.TargetRefused(choice.target.id, true, "target ${choice.target.id} is leaving").left()
                } else {
                    session.answering(choice.target.id)
                    answer.whole(choice.target.address).map { Answer(answer.headers, it) }
                }
            }
    }

    private fun recorded(session: RequestSession, answer: RecordedAnswer): Answer {
        session.event("answered_from_record")
        val headers = ResponseHeaders.builder(HttpStatus.valueOf(answer.status))
        answer.contentType?.let { headers.add(HttpHeaderNames.CONTENT_TYPE, it) }
        return Answer(headers.add("idempotent-replayed", "true").build(), HttpData.wrap(answer.body() ?: ByteArray(0)))
    }

    private fun RequestSession.answer(call: Call, answer: Answer) {
        if (tracker.outcome == RunOutcome.RUN) tracker.markAnswered()
        call.response.whole(ForwardedHeaders.toCaller(answer.headers, id), answer.body)
        event("answered") { field("status", answer.headers.status().code()) }
    }

    private class Answer(val headers: ResponseHeaders, val body: HttpData) {
        fun toRecord(): RecordedAnswer =
            RecordedAnswer.of(headers.status().code(), headers.get(HttpHeaderNames.CONTENT_TYPE), body.array())
    }
}
