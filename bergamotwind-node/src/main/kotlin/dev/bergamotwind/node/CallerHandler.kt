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
 * Base class of the handlers of callers' requests. Assigns an id to each request, handles it in a coroutine on the
 * connection's event loop, and cancels the coroutine when the caller disconnects.
 */
internal abstract class CallerHandler(protected val dependencies: HandlerDependencies) : HttpService {
    /** A call in progress. */
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
        scope.launch { handleSafely(Call(id, context, request, response, job)) }
        writer.whenComplete().whenComplete { _, _ -> job.cancel() }
        return writer
    }

    /** Handles [call] until its response has ended. */
    protected abstract suspend fun handle(call: Call)

    /** Reads the complete request body. */
    protected suspend fun readBody(call: Call): Either<Failure, AggregatedHttpRequest> = try {
        call.request.aggregate().await().right()
    } catch (failure: ContentTooLargeException) {
        Failure.Invalid(
            "the body has more than ${failure.maxContentLength()} bytes",
            "Send a smaller body.",
            status = 413,
            code = "body_too_large",
        ).left()
    }

    /** Returns the API key that the caller sent, or null. No part of a request to a target may contain it. */
    protected fun credentialOf(authorization: List<String>): String? =
        authorization.firstOrNull()?.substringAfter(' ')?.trim()?.ifEmpty { null }

    /** Rejects a [body] that contains the caller's [credential]. */
    protected fun checkBodyWithoutCredential(body: String, credential: String?): Either<Failure, Unit> =
        if (credential != null && credential in body) {
            Failure.Invalid("the body contains the caller's key", "Take the key out of the body.").left()
        } else {
            Unit.right()
        }

    /** Refuses new requests while this node is starting or shutting down. */
    protected fun checkAccepting(): Either<Failure, Unit> = when {
        dependencies.lifecycle.isAccepting -> Unit.right()
        dependencies.lifecycle.isStarting -> Failure.Unavailable("this node is starting", code = "starting").left()
        else -> Failure.Unavailable("this node is shutting down", code = "draining").left()
    }

    /** Runs [work] with [call] registered as active, so that revoking [key] cancels it. */
    protected suspend fun <T> runAsActive(call: Call, key: KeyDigest?, work: suspend () -> T): T {
        dependencies.activeRequests.add(
            ActiveRequests.ActiveRequest(call.id, key) {
                call.job.cancel(KeyRevokedException(it))
            },
        )
        return try {
            work()
        } finally {
            dependencies.activeRequests.remove(call.id)
        }
    }

    // Catches every exception, so that an internal error never leaves the caller without a response.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun handleSafely(call: Call) {
        try {
            handle(call)
        } catch (cancelled: CancellationException) {
            handleCancellation(call, cancelled)
        } catch (failure: Exception) {
            logger.error(failure) { "event=request.failed request=${call.id} error=\"${failure.message}\"" }
            call.response.fail(Failure.TargetFailed("internal error", RunOutcome.UNKNOWN))
        } finally {
            call.job.cancel()
        }
    }

    private fun handleCancellation(call: Call, cancelled: CancellationException) {
        val revoked = generateSequence<Throwable>(cancelled) { it.cause }.any { it is KeyRevokedException }
        if (!revoked) {
            dependencies.recorder.event("request.caller_left", call.id)
            return
        }
        dependencies.recorder.event("request.key_revoked", call.id)
        call.response.fail(Failure.Unauthenticated("the key was revoked"), RunOutcome.UNKNOWN)
    }
}
