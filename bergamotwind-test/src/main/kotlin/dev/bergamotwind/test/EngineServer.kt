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

/** An engine stand-in: OpenAI-compatible completions, orders and reports. */
public class EngineServer(address: String, port: Int, private val options: EngineOptions) : AutoCloseable {
    private val running = AtomicInteger()
    private val memory = EngineMemory(options, System::currentTimeMillis)
    private val requests = RequestRecorder()

    @Volatile
    private var faults = TargetFaults()

    private val server: Server = Server.builder()
        .http(InetSocketAddress(address, port))
        .requestTimeoutMillis(0)
        .service("/v1/chat/completions") { context, request ->
            HttpResponse.of(request.aggregate().thenApply { complete(context, it, chat = true) })
        }
        .service("/v1/completions") { context, request ->
            HttpResponse.of(request.aggregate().thenApply { complete(context, it, chat = false) })
        }
        .service("/control/orders") { _, request -> HttpResponse.of(request.aggregate().thenApply(::order)) }
        .service("/control/report") { _, _ -> json(Json.encodeToString(report())) }
        .service("/faults") { _, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    faults = Json.decodeFromString(it.contentUtf8())
                    HttpResponse.of(HttpStatus.OK)
                },
            )
        }
        .service("/requests") { _, _ -> json(Json.encodeToString(requests.recorded())) }
        .service("/overcommitted") { _, _ -> HttpResponse.of("%d", memory.overcommitted) }
        .build()

    /** Starts listening and returns this server. */
    public fun start(): EngineServer = apply { server.start().join() }

    /** Port in use. */
    public val port: Int get() = server.activeLocalPort()

    override fun close(): Unit = server.close()

    private fun report() = EngineReport(
        target = options.id,
        wallMillis = System.currentTimeMillis(),
        running = running.get(),
        queued = 0,
        memory = options.memory,
        lastOrder = memory.lastOrder,
        artifacts = memory.artifacts(),
        leaving = faults.draining,
    )

    private fun order(request: AggregatedHttpRequest): HttpResponse {
        if (faults.loseOrders) return HttpResponse.of(HttpStatus.OK)
        val carriedOut = memory.carryOut(Json.decodeFromString<EngineOrder>(request.contentUtf8()))
        return HttpResponse.of(if (carriedOut) HttpStatus.OK else HttpStatus.CONFLICT)
    }

    private fun complete(context: ServiceRequestContext, request: AggregatedHttpRequest, chat: Boolean): HttpResponse {
        requests.record(request)
        refusal()?.let { return it }
        val completion = EngineCompletion.parse(request.contentUtf8(), chat)
        if (!memory.serves(completion.model, completion.adapter)) {
            return HttpResponse.of(HttpStatus.NOT_FOUND, MediaType.JSON, """{"error":{"type":"model_not_loaded"}}""")
        }
        val writer = HttpResponse.streaming()
        running.incrementAndGet()
        writer.whenComplete().whenComplete { _, _ -> running.decrementAndGet() }
        val session = Session(context, writer, completion)
        context.eventLoop().schedule(session::begin, faults.delayMillis, TimeUnit.MILLISECONDS)
        return writer
    }

    private fun refusal(): HttpResponse? {
        val current = faults
        val draining = ResponseHeaders.of(HttpStatus.SERVICE_UNAVAILABLE, "x-draining", "true")
        return when {
            current.draining -> HttpResponse.of(draining)
            current.failWithStatus != 0 -> HttpResponse.of(HttpStatus.valueOf(current.failWithStatus))
            else -> null
        }
    }

    private fun json(text: String): HttpResponse = HttpResponse.of(MediaType.JSON, HttpData.ofUtf8(text).toStringUtf8())

    private inner class Session(
        private val context: ServiceRequestContext,
        private val writer: HttpResponseWriter,
        private val completion: EngineCompletion,
    ) {
        private var next = completion.resumeOffset

        fun begin() {
            val type = if (completion.stream) MediaType.EVENT_STREAM else MediaType.JSON
            writer.write(ResponseHeaders.of(HttpStatus.OK, HttpHeaderNames.CONTENT_TYPE, type))
            step()
        }

        private fun step() {
            if (faults.breakAfterTokens in 0..next) return writer.abort()
            if (next >= completion.tokens.size) return finish()
            if (completion.stream) writer.write(HttpData.ofUtf8("data: ${completion.tokenEvent(next)}\n\n"))
            next++
            if (options.tokenDelayMillis == 0L) {
                step()
            } else {
                context.eventLoop().schedule(::step, options.tokenDelayMillis, TimeUnit.MILLISECONDS)
            }
        }

        private fun finish() {
            if (completion.stream) {
                writer.write(HttpData.ofUtf8("data: ${completion.finishEvent()}\n\ndata: [DONE]\n\n"))
            } else {
                writer.write(HttpData.ofUtf8(completion.wholeAnswer()))
            }
            writer.close()
        }
    }
}
