package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.core.event
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import java.util.UUID

private val logger = KotlinLogging.logger {}

/**
 * Frame of all requests of callers: gives the request an id, runs its handling as a coroutine on the connection's
 * event loop, and cancels it when the caller leaves.
 */
internal abstract class CallerHandler(protected val parts: ServingParts) : HttpService {
    /** One call while it is handled. */
    protected class Call(
        val id: RequestId,
        val context: ServiceRequestContext,
        val request: HttpRequest,
        val response: CallerResponse,
        val job: Job,
    )

    override fun serve(context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        val id = RequestId(UUID.randomUUID().toString())
        val writer = HttpResponse.streaming()
        val response = CallerResponse(writer, id)
        val job = Job()
        val scope = CoroutineScope(context.eventLoop().withoutContext().asCoroutineDispatcher() + job)
        context.clearRequestTimeout()
        scope.launch { run(Call(id, context, request, response, job)) }
        writer.whenComplete().whenComplete { _, _ -> job.cancel() }
        return writer
    }

    /** Handles [call] up to the end of its answer. */
    protected abstract suspend fun handle(call: Call)

    /** Reads the whole body. */
    protected suspend fun body(call: Call): Either<Failure, AggregatedHttpRequest> = try {
        call.request.aggregate().await().right()
    } catch (failure: ContentTooLargeException) {
        Failure.Invalid(
            "the body has more than ${failure.maxContentLength()} bytes",
            "Send a smaller body.",
            status = 413,
            code = "body_too_large",
        ).left()
    }

    /** The key that the caller sent, or null. It must not reach a target in any part of the request. */
    protected fun credentialOf(authorization: List<String>): String? =
        authorization.firstOrNull()?.substringAfter(' ')?.trim()?.ifEmpty { null }

    /** Refuses a [body] that contains the caller's [credential]. */
    protected fun checkBody(body: String, credential: String?): Either<Failure, Unit> =
        if (credential != null && credential in body) {
            Failure.Invalid("the body contains the caller's key", "Take the key out of the body.").left()
        } else {
            Unit.right()
        }

    /** Refuses new work while this node is not serving. */
    protected fun readiness(): Either<Failure, Unit> = when {
        parts.life.isAccepting -> Unit.right()
        parts.life.isStarting -> Failure.Unavailable("this node is starting", code = "starting").left()
        else -> Failure.Unavailable("this node is shutting down", code = "draining").left()
    }

    /** Keeps [call] cancellable by the revocation of [key] while [work] runs. */
    protected suspend fun <T> whileActive(call: Call, key: KeyDigest?, work: suspend () -> T): T {
        parts.exchanges.add(ActiveExchanges.Exchange(call.id, key) { call.job.cancel(KeyRevokedException(it)) })
        return try {
            work()
        } finally {
            parts.exchanges.remove(call.id)
        }
    }

    // A fault in the handling of one request must not leave its caller without an answer.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun run(call: Call) {
        try {
            handle(call)
        } catch (cancelled: CancellationException) {
            ended(call, cancelled)
        } catch (failure: Exception) {
            logger.error(failure) { "event=request.failed request=${call.id} error=\"${failure.message}\"" }
            call.response.fail(Failure.TargetFailed("internal error", RunOutcome.UNKNOWN))
        } finally {
            call.job.cancel()
        }
    }

    private fun ended(call: Call, cancelled: CancellationException) {
        val revoked = generateSequence<Throwable>(cancelled) { it.cause }.any { it is KeyRevokedException }
        if (!revoked) {
            parts.recorder.event("request.caller_left", call.id)
            return
        }
        parts.recorder.event("request.key_revoked", call.id)
        call.response.fail(Failure.Unauthenticated("the key was revoked"), RunOutcome.UNKNOWN)
    }
}
