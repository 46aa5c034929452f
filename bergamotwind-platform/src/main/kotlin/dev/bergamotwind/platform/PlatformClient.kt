package dev.bergamotwind.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.HttpStatusClass
import com.linecorp.armeria.common.MediaType
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.SystemClock
import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.CompletionException
import kotlin.time.Duration.Companion.seconds

/**
 * Blocking calls to the platform's endpoints within a budget of calls a second, which all adapters of a node share.
 * The underlying client repeats nothing. A call goes to the next endpoint only when the attempt cannot have taken
 * effect, or when the call may be repeated.
 */
public class PlatformClient(
    internal val settings: PlatformSettings,
    registry: MeterRegistry,
    private val clock: Clock = SystemClock,
) : AutoCloseable {
    private val factory: ClientFactory = clientFactory("platform-client", settings.connectTimeout)
    private val clients: List<WebClient> = settings.endpoints.map { webClient(it, factory, settings.callTimeout) }
    private val budget = CallBudget(settings.callsPerSecond, settings.reservedCallsPerSecond, clock)
    internal val metrics = PlatformMetrics(registry)

    @Volatile
    private var preferred = 0

    init {
        require(clients.isNotEmpty()) { "platform settings: endpoints is empty; name at least one IP:PORT" }
    }

    /** Closes all connections, without waiting for the event loop to end, which takes seconds. */
    override fun close() {
        factory.closeAsync()
    }

    internal fun take(kind: CallKind): Either<Failure, Unit> = if (budget.take(kind)) {
        Unit.right()
    } else {
        metrics.refused(kind)
        Failure.Unavailable(
            "the node's budget of ${settings.callsPerSecond} platform calls a second is used up",
            "Repeat after the time in Retry-After, or raise the budget in the settings.",
            1.seconds,
            "platform_budget_exceeded",
        ).left()
    }

    internal fun preferredClient(): WebClient = clients[preferred]

    internal fun preferNext(from: WebClient) {
        if (clients[preferred] === from) preferred = (preferred + 1) % clients.size
    }

    /** Sends [body] and returns the answer with status 2xx, or the failure of the last attempt. */
    internal fun call(kind: CallKind, body: String? = null): Either<Failure, AggregatedHttpResponse> {
        var result: Either<CallError, AggregatedHttpResponse>
        var attempts = 0
        do {
            take(kind).onLeft { return it.left() }
            val client = preferredClient()
            val start = clock.monotonicNanos()
            result = attempt(client, kind, body)
            attempts++
            result.fold(
                { metrics.failed(kind, it.label) },
                { metrics.answered(kind, clock.monotonicNanos() - start) },
            )
            val error = result.leftOrNull() as? CallError.Endpoint
            if (error != null) preferNext(client)
        } while (attempts < clients.size && error != null && mayRepeat(kind, error))
        return result.mapLeft { failureOf(kind, it) }
    }

    private fun mayRepeat(kind: CallKind, error: CallError.Endpoint) = kind.repeatable || !error.maybeSent

    private fun attempt(client: WebClient, kind: CallKind, body: String?): Either<CallError, AggregatedHttpResponse> =
        try {
            val response = client.execute(request(kind, body)).aggregate().join()
            if (response.status().codeClass() == HttpStatusClass.SUCCESS) response.right() else errorOf(response).left()
        } catch (failure: CompletionException) {
            val cause = failure.cause ?: failure
            CallError.Endpoint(cause !is UnprocessedRequestException, cause.toString()).left()
        }

    internal fun request(kind: CallKind, body: String?): HttpRequest = if (body == null) {
        HttpRequest.of(HttpMethod.GET, kind.path)
    } else {
        HttpRequest.of(HttpMethod.POST, kind.path, MediaType.JSON, body)
    }

    // A status of 5xx does not say whether the write had been proposed before the server gave up on it.
    private fun errorOf(response: AggregatedHttpResponse): CallError = when {
        response.status() == HttpStatus.TOO_MANY_REQUESTS -> CallError.Endpoint(false, "the service is overloaded")

        response.status().codeClass() == HttpStatusClass.CLIENT_ERROR ->
            CallError.Refused(response.status(), response.contentUtf8())

        else -> CallError.Endpoint(true, "status ${response.status().code()}: ${response.contentUtf8()}")
    }

    private fun failureOf(kind: CallKind, error: CallError): Failure = when (error) {
        is CallError.Refused -> if (error.status == HttpStatus.NOT_FOUND) {
            Failure.NotFound("${kind.label}: ${error.detail}", "Read the state again.")
        } else {
            Failure.Invalid("${kind.label} was refused: ${error.detail}", "Report this as a fault of bergamotwind.")
        }

        is CallError.Endpoint -> if (error.maybeSent && !kind.reads) {
            Failure.OutcomeUnknown("${kind.label} was sent and has no answer: ${error.detail}")
        } else {
            Failure.Unavailable("${kind.label} failed: ${error.detail}")
        }
    }
}
