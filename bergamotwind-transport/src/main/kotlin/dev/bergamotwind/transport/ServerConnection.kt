package dev.bergamotwind.transport

import dev.bergamotwind.api.Header
import dev.bergamotwind.core.AnswerMemory
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.ByteArrayOutputStream
import java.io.IOException

/** One caller connection: collects whole requests and answers them in order. */
internal class ServerConnection(
    private val limits: () -> ListenerLimits,
    private val answerMemory: AnswerMemory,
    private val handler: IncomingHandler,
    private val onClosed: (ServerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val waiting = ArrayDeque<Pair<IncomingRequest, Boolean>>()
    private val body = ByteArrayOutputStream()
    private var head: HttpRequest? = null
    private var active: ServerExchange? = null
    private var lastActivityNanos = System.nanoTime()
    private var closing = false

    /** True while no request is being read or answered. */
    val isIdle: Boolean get() = head == null && !isAnswering

    /** True while a request waits for its answer, or the answer has not been handed to the kernel as a whole. */
    val isAnswering: Boolean get() = active != null || waiting.isNotEmpty() || unsentAnswers > 0

    /** Milliseconds since the last byte of a request or the last end of an answer. */
    val silentMillis: Long get() = (System.nanoTime() - lastActivityNanos) / NANOS_PER_MILLI
    private var unsentAnswers = 0

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        lastActivityNanos = System.nanoTime()
        try {
            if (message is HttpRequest) begin(message)
            if (message is HttpContent) append(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) active?.onWritable?.invoke()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        closing = true
        val gone = active
        active = null
        waiting.clear()
        onClosed(this)
        gone?.onGone?.invoke()
    }

    @Deprecated("Overrides the handler of Netty, whose interface is deprecated only for outbound handlers")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException && cause !is DecoderException) Unexpected.log("a caller's request failed", cause)
        context.close()
    }

    /** Ends the connection. */
    fun close() {
        closing = true
        context.close()
    }

    /** Ends the connection when it has been silent for longer than its limits allow. */
    fun closeIfExpired() {
        val reading = head != null && active == null
        val limit = if (reading) limits().headerTimeoutMillis * READ_TIME_FACTOR else limits().idleTimeoutMillis
        if (active == null && silentMillis > limit + IDLE_SWEEP_MILLIS) close()
    }

    /** The answer of [exchange] is complete, and handed to the kernel with [sent]; [close] ends the connection. */
    private fun answered(exchange: ServerExchange, sent: ChannelFuture?, close: Boolean) {
        if (active !== exchange) return
        active = null
        if (sent != null) {
            unsentAnswers++
            sent.addListener(ChannelFutureListener { unsentAnswers-- })
        }
        lastActivityNanos = System.nanoTime()
        if (close) close() else next()
    }

    private fun begin(request: HttpRequest) {
        head = request
        body.reset()
        if (request.decoderResult().isFailure) return reject(BAD_REQUEST)
        if (HttpUtil.getContentLength(request, 0L) > limits().bodyBytes) return reject(BODY_TOO_LARGE)
        if (HttpUtil.is100ContinueExpected(request)) context.writeAndFlush(ServerExchange.continueAnswer())
    }

    private fun append(content: HttpContent) {
        val request = head ?: return
        if (content.decoderResult().isFailure) return reject(BAD_REQUEST)
        val bytes = content.content()
        if (body.size() + bytes.readableBytes() > limits().bodyBytes) return reject(BODY_TOO_LARGE)
        bytes.readBytes(body, bytes.readableBytes())
        if (content !is LastHttpContent) return
        val headers = request.headers().map { Header(it.key, it.value) }
        waiting += IncomingRequest(request.method().name(), request.uri(), headers, body.toByteArray()) to
            HttpUtil.isKeepAlive(request)
        head = null
        body.reset()
        context.channel().config().isAutoRead = waiting.size < PIPELINED_REQUESTS
        if (active == null) next()
    }

    private fun next() {
        val (request, keepAlive) = waiting.removeFirstOrNull() ?: return
        context.channel().config().isAutoRead = true
        val exchange = ServerExchange(context, keepAlive, answerMemory, ::answered)
        active = exchange
        handler.handle(request, exchange)
    }

    // The bytes that follow a request that cannot be read cannot be told from another request.
    private fun reject(status: Int) {
        head = null
        if (active == null && waiting.isEmpty() && !closing) {
            closing = true
            ServerExchange(context, false, answerMemory) { _, _, _ ->
                close()
            }.answer(status, emptyList(), ByteArray(0), true)
        } else {
            close()
        }
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val BODY_TOO_LARGE = 413
        const val NANOS_PER_MILLI = 1_000_000L

        /** A body may take longer than the head, whose time is limited; slow links deliver 28 KB in a few seconds. */
        const val READ_TIME_FACTOR = 4
    }
}
