package dev.bergamotwind.test

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import dev.bergamotwind.api.EngineOrder
import dev.bergamotwind.api.EngineReport
import kotlinx.serialization.json.Json
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Fake model engine: OpenAI-compatible completions, placement orders and state reports. */
public class EngineServer(address: String, port: Int, private val options: EngineOptions) : AutoCloseable {
    private val runningRequests = AtomicInteger()
    private val memory = EngineMemory(options, System::currentTimeMillis)
    private val requests = RequestRecorder()

    @Volatile
    private var faults = TargetFaults()

    private val server: Server = Server.builder()
        .http(InetSocketAddress(address, port))
        .requestTimeoutMillis(0)
        .service("/v1/chat/completions") { context, request ->
            HttpResponse.of(request.aggregate().thenApply { handleCompletion(context, it, chat = true) })
        }
        .service("/v1/completions") { context, request ->
            HttpResponse.of(request.aggregate().thenApply { handleCompletion(context, it, chat = false) })
        }
        .service("/control/orders") { _, request -> HttpResponse.of(request.aggregate().thenApply(::handleOrder)) }
        .service("/control/report") { _, _ -> jsonResponse(Json.encodeToString(buildReport())) }
        .service("/faults") { _, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    faults = Json.decodeFromString(it.contentUtf8())
                    HttpResponse.of(HttpStatus.OK)
                },
            )
        }
        .service("/requests") { _, _ -> jsonResponse(Json.encodeToString(requests.recentRequests())) }
        .service("/overcommitted") { _, _ -> HttpResponse.of("%d", memory.overcommitCount) }
        .build()

    /** Starts listening and returns this server. */
    public fun start(): EngineServer = apply { server.start().join() }

    /** Port that this server listens on. */
    public val port: Int get() = server.activeLocalPort()

    override fun close(): Unit = server.close()

    private fun buildReport() = EngineReport(
        target = options.id,
        wallMillis = System.currentTimeMillis(),
        running = runningRequests.get(),
        queued = 0,
        memory = options.memory,
        lastOrder = memory.highestOrder,
        artifacts = memory.artifactReports(),
        leaving = faults.draining,
    )

    private fun handleOrder(request: AggregatedHttpRequest): HttpResponse {
        if (faults.loseOrders) return HttpResponse.of(HttpStatus.OK)
        val executed = memory.execute(Json.decodeFromString<EngineOrder>(request.contentUtf8()))
        return HttpResponse.of(if (executed) HttpStatus.OK else HttpStatus.CONFLICT)
    }

    private fun handleCompletion(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
        chat: Boolean,
    ): HttpResponse {
        requests.record(request)
        faultResponse()?.let { return it }
        val completion = EngineCompletion.parse(request.contentUtf8(), chat)
        if (!memory.canServe(completion.model, completion.adapter)) {
            return HttpResponse.of(HttpStatus.NOT_FOUND, MediaType.JSON, """{"error":{"type":"model_not_loaded"}}""")
        }
        val writer = HttpResponse.streaming()
        runningRequests.incrementAndGet()
        writer.whenComplete().whenComplete { _, _ -> runningRequests.decrementAndGet() }
        val responseWriter = CompletionWriter(context, writer, completion)
        context.eventLoop().schedule(responseWriter::start, faults.delayMillis, TimeUnit.MILLISECONDS)
        return writer
    }

    private fun faultResponse(): HttpResponse? {
        val current = faults
        val draining = ResponseHeaders.of(HttpStatus.SERVICE_UNAVAILABLE, "x-draining", "true")
        return when {
            current.draining -> HttpResponse.of(draining)
            current.failWithStatus != 0 -> HttpResponse.of(HttpStatus.valueOf(current.failWithStatus))
            else -> null
        }
    }

    private fun jsonResponse(text: String): HttpResponse =
        HttpResponse.of(MediaType.JSON, HttpData.ofUtf8(text).toStringUtf8())

    private inner class CompletionWriter(
        private val context: ServiceRequestContext,
        private val writer: HttpResponseWriter,
        private val completion: EngineCompletion,
    ) {
        private var nextToken = completion.resumeOffset

        fun start() {
            val type = if (completion.stream) MediaType.EVENT_STREAM else MediaType.JSON
            writer.write(ResponseHeaders.of(HttpStatus.OK, HttpHeaderNames.CONTENT_TYPE, type))
            writeNextToken()
        }

        private fun writeNextToken() {
            if (faults.breakAfterTokens in 0..nextToken) return writer.abort()
            if (nextToken >= completion.tokens.size) return finishResponse()
            if (completion.stream) writer.write(HttpData.ofUtf8("data: ${completion.renderTokenEvent(nextToken)}\n\n"))
            nextToken++
            if (options.tokenDelayMillis == 0L) {
                writeNextToken()
            } else {
                context.eventLoop().schedule(::writeNextToken, options.tokenDelayMillis, TimeUnit.MILLISECONDS)
            }
        }

        private fun finishResponse() {
            if (completion.stream) {
                writer.write(HttpData.ofUtf8("data: ${completion.renderFinishEvent()}\n\ndata: [DONE]\n\n"))
            } else {
                writer.write(HttpData.ofUtf8(completion.renderResponse()))
            }
            writer.close()
        }
    }
}
