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
internal class PlainServiceHandler(dependencies: HandlerDependencies) : CallerHandler(dependencies) {
    override suspend fun handle(call: Call) {
        prepare(call).fold({ call.response.fail(it) }) { prepared ->
            runAsActive(call, prepared.session.access.digest) { respond(call, prepared) }
        }
    }

    private class PreparedCall(
        val route: Route,
        val path: String,
        val credential: String?,
        val body: AggregatedHttpRequest,
        val session: RequestSession,
    )

    private suspend fun prepare(call: Call): Either<Failure, PreparedCall> = either {
        val authorization = call.request.headers().getAll(HttpHeaderNames.AUTHORIZATION)
        val credential = credentialOf(authorization)
        val target = ServicePath.parse(call.request.headers().path(), credential).bind()
        val freshness = dependencies.appliedConfiguration.freshnessAge(dependencies.clock.monotonicNanos())
        val resource = RequestedResource.NamedRoute(target.route)
        val access = dependencies.authenticator().authorize(authorization, resource, freshness).bind()
        checkAccepting().bind()
        val route = dependencies.appliedConfiguration.current.routes[target.route]
            ?: raise(Failure.NotFound("there is no route ${target.route}", "Ask an operator for the routes."))
        val body = readBody(call).bind()
        checkBodyWithoutCredential(body.contentUtf8(), credential).bind()
        PreparedCall(
            route,
            target.path,
            credential,
            body,
            RequestSession(call.id, access, route.idempotent, dependencies),
        )
    }

    private suspend fun respond(call: Call, prepared: PreparedCall) {
        val session = prepared.session
        session.event("received") { field("route", prepared.route.id) }
        val admitted = session.admit(Tokens(SERVICE_CALL_TOKENS))
            .fold({ return call.response.fail(session.recordFailure(it)) }, { it })
        try {
            claimAndSend(call, prepared).fold({
                call.response.fail(session.recordFailure(it))
            }, { session.sendAnswer(call, it) })
        } finally {
            admitted.settle(if (session.tracker.outcome == RunOutcome.NOT_RUN) 0 else SERVICE_CALL_TOKENS)
        }
    }

    private suspend fun claimAndSend(call: Call, prepared: PreparedCall): Either<Failure, Answer> {
        val key = call.request.headers().get("idempotency-key")
        val team = prepared.session.access.team
        if (key == null || prepared.route.idempotent) return send(prepared, null)
        if (team == null) {
            return Failure.Invalid("an Idempotency-Key needs a team", "Send a key, or leave it out.").left()
        }
        val digest = sha256("${prepared.body.method()} ${prepared.path}\n${prepared.body.contentUtf8()}")
        // Not cancellable: no claim may stay incomplete, and a retry must find the answer of a call that was sent.
        return withContext(NonCancellable) {
            withContext(dependencies.blockingDispatcher) {
                dependencies.claimStore.claim(team, prepared.route.id, key, digest, call.id)
            }.flatMap {
                when (it) {
                    is ClaimOutcome.AlreadyDone -> replayRecorded(prepared.session, it.answer).right()
                    is ClaimOutcome.Acquired -> sendClaimed(prepared, it.claim)
                }
            }
        }
    }

    private suspend fun sendClaimed(prepared: PreparedCall, claim: Claim): Either<Failure, Answer> {
        prepared.session.tracker.markClaimed()
        val result = send(prepared, claim)
        withContext(dependencies.blockingDispatcher) {
            result.fold(
                {
                    val notRun = prepared.session.tracker.outcome == RunOutcome.NOT_RUN
                    if (notRun) dependencies.claimStore.release(claim) else dependencies.claimStore.markUnknown(claim)
                },
                { dependencies.claimStore.complete(claim, it.toRecord()) },
            )
        }
        return result
    }

    private suspend fun send(prepared: PreparedCall, claim: Claim?): Either<Failure, Answer> =
        prepared.session.tryTargets(TargetRequirement.Service(prepared.route.id)) { attempt(prepared, it, claim) }

    private suspend fun attempt(prepared: PreparedCall, choice: TargetChoice, claim: Claim?): Either<Failure, Answer> {
        val session = prepared.session
        claim?.beginSend()?.onLeft { return it.left() }
        session.beginAttempt(choice).onLeft { return it.left() }
        var outcome = CallOutcome.CANCELLED
        try {
            val result = callTarget(prepared, choice)
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

    private suspend fun callTarget(prepared: PreparedCall, choice: TargetChoice): Either<Failure, Answer> {
        val session = prepared.session
        val received = prepared.body.headers()
        val headers = ForwardedHeaders.toTarget(received, prepared.path, session.id, prepared.credential)
        val content = prepared.body.content()
        return dependencies.targetClient
            .send(choice.target.address, headers, content, session.remainingMillis)
            .flatMap { response ->
                if (response.isDraining) {
                    response.abort()
                    Failure.TargetRefused(choice.target.id, true, "target ${choice.target.id} is leaving").left()
                } else {
                    session.recordResponseStart(choice.target.id)
                    response.aggregate(choice.target.address).map { Answer(response.headers, it) }
                }
            }
    }

    private fun replayRecorded(session: RequestSession, answer: RecordedAnswer): Answer {
        session.event("answered_from_record")
        val headers = ResponseHeaders.builder(HttpStatus.valueOf(answer.status))
        answer.contentType?.let { headers.add(HttpHeaderNames.CONTENT_TYPE, it) }
        return Answer(headers.add("idempotent-replayed", "true").build(), HttpData.wrap(answer.body() ?: ByteArray(0)))
    }

    private fun RequestSession.sendAnswer(call: Call, answer: Answer) {
        if (tracker.outcome == RunOutcome.RUN) tracker.markAnswered()
        call.response.sendComplete(ForwardedHeaders.toCaller(answer.headers, id), answer.body)
        event("answered") { field("status", answer.headers.status().code()) }
    }

    private class Answer(val headers: ResponseHeaders, val body: HttpData) {
        fun toRecord(): RecordedAnswer =
            RecordedAnswer.of(headers.status().code(), headers.get(HttpHeaderNames.CONTENT_TYPE), body.array())
    }
}
