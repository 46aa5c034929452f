package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryOptions
import com.linecorp.armeria.client.Endpoint
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.SessionProtocol
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.core.AnswerMemory
import dev.bergamotwind.transport.AnswerChecks
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.function.Consumer

/**
 * Sends requests to targets without retries. Each request gets a connection of its own: answers name no request, so a
 * late second answer to an earlier request on a reused connection could not be told from the answer to the next one.
 * If a target closes a reused connection meanwhile, it is also unknown whether the request has run.
 */
internal class TargetClient : AutoCloseable {
    private val factory = ClientFactory.builder()
        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
        .idleTimeoutMillis(IDLE_TIMEOUT_MILLIS)
        .maxNumRequestsPerConnection(1)
        .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, Consumer(AnswerChecks::addTo))
        .build()
    private val clients = ConcurrentHashMap<String, WebClient>()
    private val answerMemory = AnswerMemory.ofHeap()

    /** Sends a request to [address] and waits for the response headers; the response must end in [timeoutMillis]. */
    suspend fun send(
        address: String,
        headers: RequestHeaders,
        body: HttpData,
        timeoutMillis: Long,
    ): Either<Failure.TargetFailed, TargetResponse> {
        val client = clients.computeIfAbsent(address, ::createClient)
        val options = RequestOptions.builder().responseTimeout(Duration.ofMillis(timeoutMillis)).build()
        val response = client.execute(HttpRequest.of(headers, body), options)
        return awaitHeaders(address, response)
    }

    @Suppress("TooGenericExceptionCaught") // Armeria reports connection and protocol errors as many types.
    private suspend fun awaitHeaders(
        address: String,
        response: HttpResponse,
    ): Either<Failure.TargetFailed, TargetResponse> =
        try {
            val split = response.split()
            val headers = split.headers().await()
            if (headers.status() == HttpStatus.UNKNOWN) response.whenComplete().await()
            TargetResponse(headers, split.body(), response, answerMemory).right()
        } catch (cancelled: CancellationException) {
            response.abort()
            throw cancelled
        } catch (failure: Exception) {
            failureOf(address, failure).left()
        }

    override fun close(): Unit = factory.close()

    private fun createClient(address: String): WebClient =
        WebClient.builder(SessionProtocol.H1C, Endpoint.parse(address))
            .factory(factory)
            .maxResponseLength(0)
            .build()

    internal companion object {
        private const val CONNECT_TIMEOUT_MILLIS = 1_000L

        // A connection whose request was given up while it opened stays for a later one. Shorter than the keep-alive
        // timeout of common engines, so that they rarely close it when that request is sent.
        private val IDLE_TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(4)

        /** Returns the failure for [cause]; it states "not run" only if no byte of the request was written. */
        fun failureOf(address: String, cause: Throwable): Failure.TargetFailed {
            val run = if (cause is UnprocessedRequestException) RunOutcome.NOT_RUN else RunOutcome.UNKNOWN
            val reason = (cause as? UnprocessedRequestException)?.cause ?: cause
            return Failure.TargetFailed("target $address: ${reason.message ?: reason.javaClass.simpleName}", run)
        }
    }
}
