package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import dev.bergamotwind.admission.AccessSubject
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.routing.CallOutcome
import dev.bergamotwind.routing.TargetChoice
import dev.bergamotwind.routing.TargetNeed
import kotlinx.serialization.json.JsonObject

/** Handles `/v1/chat/completions` if [chat], else `/v1/completions`. */
internal class CompletionHandler(parts: ServingParts, private val chat: Boolean) : CallerHandler(parts) {
    private class Prepared(val headers: RequestHeaders, val credential: String, val request: CompletionRequest, val session: RequestSession)

    override suspend fun handle(call: Call) {
        prepare(call).fold({ call.response.fail(it) }) { prepared ->
            whileActive(call, prepared.session.access.digest) { serve(call, prepared) }
        }
    }

    private suspend fun prepare(call: Call): Either<Failure, Prepared> = either {
        val authorization = call.request.headers().getAll(HttpHeaderNames.AUTHORIZATION)
        val freshness = parts.applied.freshnessAge(parts.clock.monotonicNanos())
        // Authenticates before the body is read, so that strangers cannot make the node hold large bodies.
        parts.authenticator().authorize(authorization, AccessSubject.OwnTeam, freshness).bind()
        readiness().bind()
        val body = body(call).bind()
        val credential = authorization.first().substringAfter(' ').trim()
        if (credential in body.contentUtf8()) {
            raise(Failure.Invalid("the body contains the caller's key", "Take the key out of the body."))
        }
        val request = CompletionRequest.parse(body.contentUtf8(), chat).bind()
        val access = parts.authenticator()
            .authorize(authorization, AccessSubject.NamedModel(request.name), freshness).bind()
        Prepared(body.headers(), credential, request, RequestSession(call.id, access, idempotent = true, parts))
    }

    private suspend fun serve(call: Call, prepared: Prepared) {
        val session = prepared.session
        session.event("received") { field("model", prepared.request.name) }
        val admitted = session.admit(prepared.request.estimatedTokens)
            .fold({ return session.refuse(call.response, it) }, { it })
        var used = prepared.request.estimatedTokens.value
        try {
            val result = whole(prepared)
            if (session.tracker.outcome == RunOutcome.NOT_RUN) used = 0
            result.fold({ session.refuse(call.response, it) }) {
                used = it.totalTokens ?: used
                answer(call, session, it)
            }
        } finally {
            admitted.settle(used)
        }
    }

    private fun answer(call: Call, session: RequestSession, completion: WholeCompletion) {
        session.tracker.answered()
        val headers = ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON)
            .add("x-request-id", session.id.value).build()
        call.response.whole(headers, completion.body)
        session.event("answered") { field("tokens", completion.totalTokens) }
    }

    private suspend fun whole(prepared: Prepared): Either<Failure, WholeCompletion> {
        val session = prepared.session
        val need = TargetNeed.Engine(prepared.request.model, prepared.request.adapter)
        val tried = mutableSetOf<TargetId>()
        var last: Failure? = null
        while (tried.size < MAXIMUM_ATTEMPTS) {
            val choice = session.recheck().flatMap { session.select(need, prepared.request.prefixHash, tried) }
                .fold({ return (last ?: it).left() }, { it })
            tried += choice.target.id
            val failure = attempt(prepared, choice).fold({ it }, { return it.right() })
            if (!session.mayTryAgain(idempotent = true)) return failure.left()
            last = failure
        }
        return last!!.left()
    }

    private suspend fun attempt(prepared: Prepared, choice: TargetChoice): Either<Failure, WholeCompletion> {
        val session = prepared.session
        session.beginAttempt(choice).onLeft { return it.left() }
        var outcome = CallOutcome.CANCELLED
        try {
            val result = open(prepared, choice, prepared.request.body)
                .flatMap { answer -> answer.whole(choice.target.address) }
                .flatMap(WholeCompletion::check)
            outcome = outcomeOf(result)
            if (result.leftOrNull()?.run == RunOutcome.NOT_RUN) session.tracker.notExecuted()
            return result
        } finally {
            session.endAttempt(choice.target.id, outcome)
        }
    }

    private suspend fun open(prepared: Prepared, choice: TargetChoice, body: JsonObject): Either<Failure, TargetAnswer> {
        val path = if (chat) "/v1/chat/completions" else "/v1/completions"
        val headers = ForwardedHeaders.toTarget(prepared.headers, path, prepared.session.id, prepared.credential)
        val session = prepared.session
        return parts.client
            .open(choice.target.address, headers, HttpData.ofUtf8(body.toString()), true, session.remainingMillis)
            .flatMap { accept(choice, session, it) }
    }

    private fun accept(choice: TargetChoice, session: RequestSession, answer: TargetAnswer): Either<Failure, TargetAnswer> {
        val status = answer.headers.status()
        if (status.isSuccess) {
            session.tracker.answering()
            return answer.right()
        }
        answer.abort()
        val target = choice.target.id
        return when {
            answer.isDraining -> Failure.TargetDraining(target).left()
            // The model was unloaded since the last report: nothing was executed.
            status == HttpStatus.NOT_FOUND -> Failure.TargetFailed("target $target lacks the model", RunOutcome.NOT_RUN).left()
            else -> Failure.TargetFailed("target $target answered ${status.code()}", RunOutcome.UNKNOWN).left()
        }
    }

    private fun outcomeOf(result: Either<Failure, WholeCompletion>): CallOutcome = when (result.leftOrNull()) {
        null -> CallOutcome.ANSWERED
        is Failure.TargetDraining -> CallOutcome.DRAINING
        else -> CallOutcome.FAILED
    }
}
