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
 * Handles `/v1/chat/completions` if [chat], else `/v1/completions`. Concurrent identical
 * requests of one team share a single run and its response.
 */
internal class CompletionHandler(
    dependencies: HandlerDependencies,
    private val runs: SharedRuns<String>,
    private val chat: Boolean,
) : CallerHandler(dependencies) {
    private val path = if (chat) "/v1/chat/completions" else "/v1/completions"

    override suspend fun handle(call: Call) {
        prepare(call).fold({ call.response.fail(it) }) { prepared ->
            runAsActive(call, prepared.access.digest) { joinRun(call, prepared) }
        }
    }

    private suspend fun prepare(call: Call): Either<Failure, PreparedCompletion> = either {
        val authorization = call.request.headers().getAll(HttpHeaderNames.AUTHORIZATION)
        val freshness = dependencies.appliedConfiguration.freshnessAge(dependencies.clock.monotonicNanos())
        // Authenticates before reading the body, so that only callers with a key can make the node buffer large bodies.
        dependencies.authenticator().authorize(authorization, RequestedResource.OwnTeam, freshness).bind()
        checkAccepting().bind()
        val body = readBody(call).bind()
        val text = body.contentUtf8()
        val credential = credentialOf(authorization)
        checkBodyWithoutCredential(text, credential).bind()
        val request = CompletionRequest.parse(text, chat).bind()
        val resource = RequestedResource.NamedModel(request.name)
        val access = dependencies.authenticator().authorize(authorization, resource, freshness).bind()
        PreparedCompletion(body.headers(), credential, request, access)
    }

    private suspend fun joinRun(call: Call, prepared: PreparedCompletion) {
        val available = Channel<Unit>(Channel.CONFLATED)
        val key = SharedRunKey(prepared.access.team!!, sha256("$path\n${prepared.request.body}"))
        runs.join(key) { available.trySend(Unit) }.use { subscription ->
            if (subscription.startedRun) startRun(call, prepared, subscription) else recordJoined(call, prepared)
            relayEvents(call, prepared.request.stream, subscription, available)
        }
    }

    // The run has its own job: it outlives the caller that started it, because other callers may have joined.
    private fun startRun(call: Call, prepared: PreparedCompletion, subscription: SharedRunSubscription<String>) {
        val job = Job()
        val scope = CoroutineScope(call.context.eventLoop().withoutContext().asCoroutineDispatcher() + job)
        subscription.run.onCancel { job.cancel() }
        scope.launch { CompletionRun(call.id, path, prepared, subscription.run, dependencies).execute() }
    }

    private fun recordJoined(call: Call, prepared: PreparedCompletion) =
        dependencies.recorder.event("request.joined", call.id) {
            field("team", prepared.access.team)
            field("model", prepared.request.name)
        }

    private suspend fun relayEvents(
        call: Call,
        stream: Boolean,
        subscription: SharedRunSubscription<String>,
        available: Channel<Unit>,
    ) {
        while (true) {
            when (val event = subscription.poll()) {
                null -> available.receive()
                is SharedRunEvent.Item -> sendItem(call, stream, event.value)
                is SharedRunEvent.Failed -> return call.response.fail(event.failure)
                SharedRunEvent.End -> return endResponse(call, stream)
            }
        }
    }

    private suspend fun sendItem(call: Call, stream: Boolean, data: String) {
        if (stream) {
            call.response.beginEventStream()
            call.response.write("data: $data\n\n")
        } else {
            val headers = ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON)
                .add("x-request-id", call.id.value).build()
            call.response.sendComplete(headers, HttpData.ofUtf8(data))
        }
    }

    private suspend fun endResponse(call: Call, stream: Boolean) {
        if (stream) {
            call.response.write("data: [DONE]\n\n")
            call.response.close()
        }
        dependencies.recorder.event("request.delivered", call.id)
    }
}
