package dev.bergamotwind.transport

import dev.bergamotwind.api.Header
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * One connection to a target.
 *
 * A faulty target may answer a request twice, the second time where the next answer is expected. So an answer belongs
 * to the request that waits for one if it names that request, or if it names none and the connection has carried no
 * other request. A connection is kept only after an answer that named its request: a copy of any other could not be
 * told from the next answer.
 */
internal class ClientConnection(val address: InetSocketAddress, private val dialer: HttpDialer) :
    ChannelInboundHandlerAdapter() {
    /** Tells whether bytes have arrived that are not part of an answer yet. */
    var hasUnreadBytes: () -> Boolean = { false }
    private var context: ChannelHandlerContext? = null
    private var call: ClientCall? = null
    private var requestWritten = false
    private var answerStarted = false
    private var isSkipping = false
    private var reusable = false
    private var failure: String? = null
    private var skippedAnswers = 0
    private var requests = 0
    private var idleSinceNanos = 0L
    private var statedIdleMillis: Long? = null

    /** True while no request waits for an answer. */
    val isIdle: Boolean get() = call == null

    /** True while the connection can carry a request. */
    val isOpen: Boolean get() = context?.channel()?.isActive == true

    /** True while the request that waits is one whose answer has no body. */
    val answersHaveNoBody: Boolean get() = call?.request?.method == "HEAD"

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        context.channel().closeFuture().addListener { dialer.closed(this) }
    }

    /** True when the connection is open and has been idle for less than [reuseIdleMillis] and than it stated. */
    fun isUsable(reuseIdleMillis: Long): Boolean {
        val idleMillis = (System.nanoTime() - idleSinceNanos) / NANOS_PER_MILLI
        val stated = statedIdleMillis
        val limit = if (stated == null) reuseIdleMillis else minOf(reuseIdleMillis, stated / STATED_IDLE_MARGIN)
        return isOpen && idleMillis < limit
    }

    /** Sends the request of [started]. Nothing was sent if the connection has ended before. */
    fun start(started: ClientCall) {
        val channelContext = context
        when {
            started.ended -> close()

            channelContext == null || !isOpen -> started.notSent("the connection ended before the request was sent")

            !started.request.mayLeave() -> {
                close()
                started.notSent("what permitted the request has ended")
            }

            else -> write(channelContext, started)
        }
    }

    fun pause(paused: Boolean) {
        context?.channel()?.config()?.isAutoRead = !paused
    }

    fun close() {
        context?.close()
    }

    /** Ends the connection because of bytes that belong to no request. */
    fun endForUnexpectedBytes() {
        // More may be read until the connection has ended.
        if (failure != null) return
        reportForeign("bytes after the answer to request $requests of the connection")
        fail("bytes to no request")
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (isIdle) endForUnexpectedBytes() else receive(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    @Deprecated("Overrides the handler of Netty, whose interface is deprecated only for outbound handlers")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (isIdle && cause is DecoderException) return endForUnexpectedBytes()
        failure = if (cause is IOException) "the connection was reset" else "unreadable answer: ${cause.message}"
        if (cause !is IOException && cause !is DecoderException) Unexpected.log("reading an answer failed", cause)
        context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        val unfinished = call
        call = null
        val reason = failure ?: "the connection ended before the answer was complete"
        failure = reason
        unfinished?.broken(reason)
    }

    private fun write(channelContext: ChannelHandlerContext, started: ClientCall) {
        val message = try {
            message(started.request)
        } catch (failure: IllegalArgumentException) {
            close()
            return started.notSent("the request cannot be written: ${failure.message}")
        }
        call = started
        requests++
        started.connection = this
        if (started.request.resetsIfUnanswered) channelContext.channel().config().setOption(ChannelOption.SO_LINGER, 0)
        requestWritten = false
        answerStarted = false
        isSkipping = false
        reusable = false
        skippedAnswers = 0
        val written = channelContext.writeAndFlush(message)
        written.addListener(ChannelFutureListener { if (it.isSuccess) requestWritten = true })
    }

    private fun message(request: OutgoingRequest): FullHttpRequest {
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.path,
            Unpooled.wrappedBuffer(request.body),
        )
        request.headers.forEach { message.headers().add(it.name, it.value) }
        if (request.body.isNotEmpty() || request.method !in BODILESS_METHODS) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        return message
    }

    private fun receive(message: Any) {
        if (failure != null) return
        if (message is HttpResponse) begin(message)
        if (message is HttpContent) append(message)
    }

    private fun begin(response: HttpResponse) {
        val current = call ?: return
        if (response.decoderResult().isFailure || answerStarted) return fail("unreadable answer")
        if (response.status().code() < FIRST_FINAL_STATUS) return countSkipped("interim answers without end")
        when (val origin = AnswerOrigin.of(response, current.request, isOnlyRequest = requests == 1)) {
            AnswerOrigin.OTHER_REQUEST -> {
                reportForeign("an answer with status ${response.status().code()} to another request")
                if (response.statesItsEnd) skip(current) else fail("an answer to another request without a length")
            }

            AnswerOrigin.UNKNOWN -> {
                val description = "an answer with status ${response.status().code()} that does not name its request"
                reportForeign("$description, after ${requests - 1} other requests")
                fail(description)
            }

            AnswerOrigin.NAMED, AnswerOrigin.ONLY_REQUEST -> {
                answerStarted = true
                reusable = origin == AnswerOrigin.NAMED && HttpUtil.isKeepAlive(response) && response.statesItsEnd
                statedIdleMillis = response.statedIdleMillis
                current.head(response.status().code(), response.headers().map { Header(it.key, it.value) })
            }
        }
    }

    /** Skips an answer to another request; one that breaks off would take the answer of [current] for its end. */
    private fun skip(current: ClientCall) {
        isSkipping = true
        countSkipped("answers to other requests without end")
        val skipped = skippedAnswers
        val check = {
            if (isSkipping && call === current &&
                skippedAnswers == skipped
            ) {
                fail("an answer that breaks off")
            }
        }
        context?.executor()?.schedule(check, SKIPPED_ANSWER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun countSkipped(reasonAtLimit: String) {
        if (++skippedAnswers > SKIPPED_ANSWER_LIMIT) fail(reasonAtLimit)
    }

    private fun fail(reason: String) {
        failure = reason
        close()
    }

    private fun reportForeign(description: String) = dialer.onForeignAnswer(address, description)

    private fun append(content: HttpContent) {
        val current = call ?: return
        if (content.decoderResult().isFailure) return fail("unreadable answer")
        if (isSkipping) {
            isSkipping = content !is LastHttpContent
            return
        }
        if (!answerStarted) return
        val bytes = content.content()
        if (bytes.isReadable) current.bytes(ByteArray(bytes.readableBytes()).also(bytes::readBytes))
        // A reset is reported before the decoder ends an answer that has no length.
        if (content is LastHttpContent && failure == null) finish(current)
    }

    private fun finish(current: ClientCall) {
        call = null
        if (current.request.resetsIfUnanswered) context?.channel()?.config()?.setOption(ChannelOption.SO_LINGER, -1)
        // The rest of a request that was answered early would be taken for the next request.
        val hasFurtherBytes = hasUnreadBytes()
        if (hasFurtherBytes) endForUnexpectedBytes()
        val isReusable = reusable && requestWritten && !hasFurtherBytes
        if (isReusable && !current.ended) {
            pause(false)
            idleSinceNanos = System.nanoTime()
            dialer.keep(this)
        } else {
            close()
        }
        current.complete()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val FIRST_FINAL_STATUS = 200

        /** Part of the stated idle time that is used; the other side counts from an earlier moment. */
        const val STATED_IDLE_MARGIN = 2
        val BODILESS_METHODS = setOf("GET", "HEAD", "DELETE", "OPTIONS")
    }
}
