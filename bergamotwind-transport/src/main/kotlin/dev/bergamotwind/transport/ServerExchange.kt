package dev.bergamotwind.transport

import dev.bergamotwind.api.CallerExchange
import dev.bergamotwind.api.Header
import dev.bergamotwind.core.AnswerMemory
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

/** Writes the answer to one request of a [ServerConnection]. */
internal class ServerExchange(
    private val context: ChannelHandlerContext,
    keepAlive: Boolean,
    answerMemory: AnswerMemory,
    /** Called with the write of the answer's end if that is still under way, and whether to close the connection. */
    private val onAnswered: (ServerExchange, ChannelFuture?, Boolean) -> Unit,
) : CallerExchange {
    override var onGone: (() -> Unit)? = null
    override var onWritable: (() -> Unit)? = null
    override val isWritable: Boolean get() = context.channel().isWritable
    private var closeAfter = !keepAlive
    private var ended = false
    private val memory = answerMemory.share { context.close() }
    private var unsentBytes = 0L

    override fun answer(status: Int, headers: List<Header>, body: ByteArray, close: Boolean) {
        if (ended) return
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(body),
        )
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        addHeaders(response, headers, close)
        end(response, body.size)
    }

    override fun start(status: Int, headers: List<Header>, close: Boolean) {
        if (ended) return
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        addHeaders(response, headers, close)
        send(response, 0)
    }

    override fun write(bytes: ByteArray) {
        if (!ended && bytes.isNotEmpty()) send(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), bytes.size)
    }

    override fun finish() {
        if (!ended) end(LastHttpContent.EMPTY_LAST_CONTENT, 0)
    }

    override fun abort() {
        if (ended) return
        ended = true
        onAnswered(this, null, true)
    }

    private fun addHeaders(response: HttpResponse, headers: List<Header>, close: Boolean) {
        headers.forEach { response.headers().add(it.name, it.value) }
        closeAfter = closeAfter || close
        if (closeAfter) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun end(last: Any, bodyBytes: Int) {
        ended = true
        val sent = send(last, bodyBytes)
        if (closeAfter) {
            // The connection ends only after the last byte has been handed to the kernel.
            sent.addListener(ChannelFutureListener { onAnswered(this, null, true) })
        } else {
            onAnswered(this, sent, false)
        }
    }

    /** Writes [message] with [bodyBytes] bytes of the body, which count as kept until the kernel has taken them. */
    private fun send(message: Any, bodyBytes: Int): ChannelFuture {
        val sent = context.writeAndFlush(message)
        // A write that fails for want of memory leaves the connection open, with a part of the answer missing.
        sent.addListener(ChannelFutureListener { if (!it.isSuccess) context.close() })
        if (sent.isDone) return sent
        val kept = bodyBytes + WRITE_OVERHEAD_BYTES
        unsentBytes += kept
        sent.addListener(
            ChannelFutureListener {
                unsentBytes -= kept
                memory.resize(unsentBytes)
            },
        )
        memory.resize(unsentBytes)
        return sent
    }

    companion object {
        fun continueAnswer(): FullHttpResponse =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)
    }
}
