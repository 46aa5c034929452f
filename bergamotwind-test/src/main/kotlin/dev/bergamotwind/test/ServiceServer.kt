package dev.bergamotwind.test

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.TargetId
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/** Fake plain service that counts how often each request body was executed. */
public class ServiceServer(address: String, port: Int, private val id: TargetId) : AutoCloseable {
    private val executions = ConcurrentHashMap<String, Int>()
    private val requests = RequestRecorder()

    @Volatile
    private var faults = TargetFaults()

    private val server: Server = Server.builder()
        .http(InetSocketAddress(address, port))
        .service("/control/report") { _, _ -> HttpResponse.of(MediaType.JSON, Json.encodeToString(buildReport())) }
        .service("/faults") { _, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    faults = Json.decodeFromString(it.contentUtf8())
                    HttpResponse.of(HttpStatus.OK)
                },
            )
        }
        .service("/requests") { _, _ ->
            HttpResponse.of(MediaType.JSON, Json.encodeToString(requests.recentRequests()))
        }
        .service("/executions") { _, _ ->
            HttpResponse.of(MediaType.JSON, Json.encodeToString<Map<String, Int>>(executions))
        }
        .serviceUnder("/") { _, request -> HttpResponse.of(request.aggregate().thenApply(::handleRequest)) }
        .build()

    /** Starts listening and returns this server. */
    public fun start(): ServiceServer = apply { server.start().join() }

    /** Port that this server listens on. */
    public val port: Int get() = server.activeLocalPort()

    override fun close(): Unit = server.close()

    private fun buildReport() =
        EngineReport(id, System.currentTimeMillis(), 0, 0, Mebibytes(0), leaving = faults.draining)

    private fun handleRequest(request: AggregatedHttpRequest): HttpResponse {
        requests.record(request)
        val current = faults
        if (current.draining) {
            return HttpResponse.of(ResponseHeaders.of(HttpStatus.SERVICE_UNAVAILABLE, "x-draining", "true"))
        }
        if (current.failWithStatus != 0) return HttpResponse.of(HttpStatus.valueOf(current.failWithStatus))
        val count = executions.merge(request.contentUtf8(), 1, Int::plus)
        if (current.breakAfterTokens >= 0) {
            return HttpResponse.streaming().apply { abort() }
        }
        val response = buildJsonObject {
            put("service", id.value)
            put("path", request.path())
            put("executions", count)
            put("echo", request.contentUtf8())
        }
        return HttpResponse.delayed(
            HttpResponse.of(HttpStatus.OK, MediaType.JSON, response.toString()),
            Duration.ofMillis(current.delayMillis),
        )
    }
}
