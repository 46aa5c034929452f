package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.raise.either
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import dev.bergamotwind.admission.RequestedResource
import dev.bergamotwind.api.Failure
import dev.bergamotwind.configuration.sha256
import dev.bergamotwind.core.event
import dev.bergamotwind.routing.SharedRunEvent
import dev.bergamotwind.routing.SharedRunKey
import dev.bergamotwind.routing.SharedRunSubscription
import dev.bergamotwind.routing.SharedRuns
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch

/**
 * Handles `/v1/chat/completions` if [chat], else `/v1/completions`. Callers of one team that send the same request at
 * the same time read the answer of one run.
 */
internal class CompletionHandler(
    parts: ServingParts,
    private val runs: SharedRuns<String>,
    private val chat: Boolean,
) : CallerHandler(parts) {
    private val path = if (chat) "/v1/chat/completions" else "/v1/completions"

    override suspend fun handle(call: Call) {
        prepare(call).fold({ call.response.fail(it) }) { prepared ->
            whileActive(call, prepared.access.digest) { subscribe(call, prepared) }
        }
    }

    private suspend fun prepare(call: Call): Either<Failure, PreparedCompletion> = either {
        val authorization = call.request.headers().getAll(HttpHeaderNames.AUTHORIZATION)
        val freshness = parts.applied.freshnessAge(parts.clock.monotonicNanos())
        // Authenticates before the body is read, so that strangers cannot make the node hold large bodies.
        parts.authenticator().authorize(authorization, RequestedResource.OwnTeam, freshness).bind()
        readiness().bind()
        val body = body(call).bind()
        val text = body.contentUtf8()
        val credential = credentialOf(authorization)
        checkBody(text, credential).bind()
        val request = CompletionRequest.parse(text, chat).bind()
        val subject = RequestedResource.NamedModel(request.name)
        val access = parts.authenticator().authorize(authorization, subject, freshness).bind()
        PreparedCompletion(body.headers(), credential, request, access)
    }

    private suspend fun subscribe(call: Call, prepared: PreparedCompletion) {
        val available = Channel<Unit>(Channel.CONFLATED)
        val key = SharedRunKey(prepared.access.team!!, sha256("$path\n${prepared.request.body}"))
        runs.join(key) { available.trySend(Unit) }.use { subscription ->
            if (subscription.startedRun) start(call, prepared, subscription) else joined(call, prepared)
            relay(call, prepared.request.stream, subscription, available)
        }
    }

    // The run does not end with the caller that started it, since others may have joined.
    private fun start(call: Call, prepared: PreparedCompletion, subscription: SharedRunSubscription<String>) {
        val job = Job()
        val scope = CoroutineScope(call.context.eventLoop().withoutContext().asCoroutineDispatcher() + job)
        subscription.run.onCancel { job.cancel() }
        scope.launch { CompletionRun(call.id, path, prepared, subscription.run, parts).execute() }
    }

    private fun joined(call: Call, prepared: PreparedCompletion) = parts.recorder.event("request.joined", call.id) {
        field("team", prepared.access.team)
        field("model", prepared.request.name)
    }

    private suspend fun relay(
        call: Call,
        stream: Boolean,
        subscription: SharedRunSubscription<String>,
        available: Channel<Unit>,
    ) {
        while (true) {
            when (val event = subscription.poll()) {
                null -> available.receive()
                is SharedRunEvent.Item -> deliver(call, stream, event.value)
                is SharedRunEvent.Failed -> return call.response.fail(event.failure)
                SharedRunEvent.End -> return finish(call, stream)
            }
        }
    }

    private suspend fun deliver(call: Call, stream: Boolean, data: String) {
        if (stream) {
            call.response.beginEvents()
            call.response.write("data: $data\n\n")
        } else {
            val headers = ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON)
                .add("x-request-id", call.id.value).build()
            call.response.whole(headers, HttpData.ofUtf8(data))
        }
    }

    private suspend fun finish(call: Call, stream: Boolean) {
        if (stream) {
            call.response.write("data: [DONE]\n\n")
            call.response.close()
        }
        parts.recorder.event("request.delivered", call.id)
    }
}
