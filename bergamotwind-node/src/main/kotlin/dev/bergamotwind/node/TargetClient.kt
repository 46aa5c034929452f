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
 * Sends requests to targets, once each. Idempotent requests share connections. A non-idempotent request gets a
 * connection of its own: on a reused one that the target closes meanwhile, nobody could tell whether it had run.
 */
internal class TargetClient : AutoCloseable {
    private val shared = factory().build()
    private val single = factory().maxNumRequestsPerConnection(1).build()
    private val clients = ConcurrentHashMap<ClientKey, WebClient>()

    private data class ClientKey(val address: String, val idempotent: Boolean)

    /** Sends a request to [address] and waits for the head of the answer, within [timeoutMillis] for the whole. */
    suspend fun open(
        address: String,
        headers: RequestHeaders,
        body: HttpData,
        idempotent: Boolean,
        timeoutMillis: Long,
    ): Either<Failure.TargetFailed, TargetAnswer> {
        val client = clients.computeIfAbsent(ClientKey(address, idempotent), ::client)
        val options = RequestOptions.builder().responseTimeout(Duration.ofMillis(timeoutMillis)).build()
        val response = client.execute(HttpRequest.of(headers, body), options)
        return head(address, response)
    }

    @Suppress("TooGenericExceptionCaught") // Armeria reports connection and protocol errors as many types.
    private suspend fun head(address: String, response: HttpResponse): Either<Failure.TargetFailed, TargetAnswer> =
        try {
            val split = response.split()
            val head = split.headers().await()
            if (head.status() == HttpStatus.UNKNOWN) response.whenComplete().await()
            TargetAnswer(head, split.body(), response).right()
        } catch (cancelled: CancellationException) {
            response.abort()
            throw cancelled
        } catch (failure: Exception) {
            failed(address, failure).left()
        }

    override fun close() {
        shared.close()
        single.close()
    }

    private fun client(key: ClientKey): WebClient = WebClient.builder(SessionProtocol.H1C, Endpoint.parse(key.address))
        .factory(if (key.idempotent) shared else single)
        .maxResponseLength(0)
        .build()

    private fun factory() = ClientFactory.builder()
        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
        .idleTimeoutMillis(IDLE_TIMEOUT_MILLIS)

    internal companion object {
        private const val CONNECT_TIMEOUT_MILLIS = 1_000L

        // Shorter than the keep-alive of common engines, so that a pooled connection is rarely closed under a request.
        private val IDLE_TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(4)

        /** The failure for [cause]; not run only if no byte of the request was written. */
        fun failed(address: String, cause: Throwable): Failure.TargetFailed {
            val run = if (cause is UnprocessedRequestException) RunOutcome.NOT_RUN else RunOutcome.UNKNOWN
            val reason = (cause as? UnprocessedRequestException)?.cause ?: cause
            return Failure.TargetFailed("target $address: ${reason.message ?: reason.javaClass.simpleName}", run)
        }
    }
}
