package dev.bergamotwind.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.HttpStatusClass
import com.linecorp.armeria.common.MediaType
import dev.bergamotwind.api.EngineControl
import dev.bergamotwind.api.EngineOrder
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.api.TargetId
import java.util.concurrent.CompletionException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * Orders to engines by `POST /control/orders` and reports by `GET /control/report`. [addressOf] returns a target's
 * `IP:PORT`, or null when the target is not configured. Nothing is sent twice. Each call gets a connection of its own:
 * answers name no call, so a late second answer to an earlier call on a reused connection could not be told from the
 * answer to the next one.
 */
public class HttpEngineControl(
    private val timeout: Duration = DEFAULT_CONTROL_TIMEOUT,
    connectTimeout: Duration = DEFAULT_CONNECT_TIMEOUT,
    private val addressOf: (TargetId) -> String?,
) : EngineControl,
    AutoCloseable {
    private val factory = clientFactory("engine-control", connectTimeout) { maxNumRequestsPerConnection(1) }
    private val clients = ConcurrentHashMap<String, WebClient>()

    /** Fails with [Failure.Conflict] when the engine has seen a greater fencing number. */
    override fun send(order: EngineOrder): Either<Failure, Unit> {
        val body = EtcdCodec.json.encodeToString(order)
        val request = HttpRequest.of(HttpMethod.POST, "/control/orders", MediaType.JSON, body)
        return exchange(order.target, request).flatMap { response ->
            when {
                response.status().codeClass() == HttpStatusClass.SUCCESS -> Unit.right()

                response.status() == HttpStatus.CONFLICT ->
                    Failure.Conflict("target ${order.target}: fencing number ${order.fencing} is too old").left()

                else -> failed(order.target, response).left()
            }
        }
    }

    override fun report(target: TargetId): Either<Failure, EngineReport> =
        exchange(target, HttpRequest.of(HttpMethod.GET, "/control/report")).flatMap { response ->
            if (response.status().codeClass() == HttpStatusClass.SUCCESS) {
                EtcdCodec.decode<EngineReport>(response.contentUtf8())
            } else {
                failed(target, response).left()
            }
        }

    /** Closes all connections, without waiting for the event loop to end, which takes seconds. */
    override fun close() {
        factory.closeAsync()
    }

    private fun exchange(target: TargetId, request: HttpRequest): Either<Failure, AggregatedHttpResponse> {
        val address = addressOf(target) ?: return unknown(target).left()
        val client = clients.computeIfAbsent(address) { webClient(it, factory, timeout) }
        return try {
            client.execute(request).aggregate().join().right()
        } catch (failure: CompletionException) {
            val cause = failure.cause ?: failure
            if (cause is UnprocessedRequestException) {
                Failure.Unavailable("target $target cannot be reached: ${cause.cause}").left()
            } else {
                Failure.TargetFailed("target $target gave no answer: $cause", RunOutcome.UNKNOWN).left()
            }
        }
    }

    private fun unknown(target: TargetId) =
        Failure.NotFound("target $target is not configured", "Add the target to the configuration.")

    private fun failed(target: TargetId, response: AggregatedHttpResponse): Failure {
        val refused = response.status().codeClass() == HttpStatusClass.CLIENT_ERROR
        val outcome = if (refused) RunOutcome.NOT_RUN else RunOutcome.UNKNOWN
        return Failure.TargetFailed("target $target answered ${response.status().code()}", outcome)
    }
}
