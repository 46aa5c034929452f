package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.client.ClientFactory
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
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * Sends requests to targets without retries. Idempotent requests reuse pooled connections. A non-idempotent request
 * gets a new connection: if a target closes a reused one meanwhile, it is unknown whether the request has run.
 */
internal class TargetClient : AutoCloseable {
    private val pooledFactory = factoryBuilder().build()
    private val singleUseFactory = factoryBuilder().maxNumRequestsPerConnection(1).build()
    private val clients = ConcurrentHashMap<ClientKey, WebClient>()

    private data class ClientKey(val address: String, val idempotent: Boolean)

    /** Sends a request to [address] and waits for the response headers; the response must end in [timeoutMillis]. */
    suspend fun send(
        address: String,
        headers: RequestHeaders,
        body: HttpData,
        idempotent: Boolean,
        timeoutMillis: Long,
    ): Either<Failure.TargetFailed, TargetResponse> {
        val client = clients.computeIfAbsent(ClientKey(address, idempotent), ::createClient)
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
            TargetResponse(headers, split.body(), response).right()
        } catch (cancelled: CancellationException) {
            response.abort()
            throw cancelled
        } catch (failure: Exception) {
            failureOf(address, failure).left()
        }

    override fun close() {
        pooledFactory.close()
        singleUseFactory.close()
    }

    private fun createClient(key: ClientKey): WebClient =
        WebClient.builder(SessionProtocol.H1C, Endpoint.parse(key.address))
            .factory(if (key.idempotent) pooledFactory else singleUseFactory)
            .maxResponseLength(0)
            .build()

    private fun factoryBuilder() = ClientFactory.builder()
        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
        .idleTimeoutMillis(IDLE_TIMEOUT_MILLIS)

    internal companion object {
        private const val CONNECT_TIMEOUT_MILLIS = 1_000L

        // Shorter than the keep-alive timeout of common engines, so that they rarely close a pooled connection in use.
        private val IDLE_TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(4)

        /** Returns the failure for [cause]; it states "not run" only if no byte of the request was written. */
        fun failureOf(address: String, cause: Throwable): Failure.TargetFailed {
            val run = if (cause is UnprocessedRequestException) RunOutcome.NOT_RUN else RunOutcome.UNKNOWN
            val reason = (cause as? UnprocessedRequestException)?.cause ?: cause
            return Failure.TargetFailed("target $address: ${reason.message ?: reason.javaClass.simpleName}", run)
        }
    }
}
