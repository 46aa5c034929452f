package dev.bergamotwind.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.CorruptedFrameException
import io.netty.util.ReferenceCountUtil

/**
 * Lets only those bytes of a connection pass to the [decoder] that are answers by [syntax], and only a clean end of the
 * stream. The decoder of Netty repairs what is no answer, and takes any end of the connection for the end of an answer
 * without a length.
 *
 * Needs a channel that permits half-closure, which tells the end of the stream from the end of the connection. The
 * kernel reports a reset only once, to a write that is under way or to a read, and to no read after the end of the
 * stream. So that end counts as clean only once the kernel has taken the whole request.
 */
internal class AnswerFilter(
    private val syntax: AnswerSyntax,
    private val decoder: Class<out ChannelHandler>,
    private val requests: RequestWrites,
) : ChannelInboundHandlerAdapter() {
    private var isBroken = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is ByteBuf) return super.channelRead(context, message)
        if (isBroken) {
            ReferenceCountUtil.release(message)
            return
        }
        val validBytes = syntax.read(message)
        val fault = syntax.fault ?: return super.channelRead(context, message)
        // The end of an earlier answer may stand before the fault.
        if (validBytes > 0) context.fireChannelRead(message.readRetainedSlice(validBytes))
        ReferenceCountUtil.release(message)
        endBroken(context, CorruptedFrameException(fault))
    }

    @Deprecated("Overrides the handler of Netty, whose interface is deprecated only for outbound handlers")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable): Unit = endBroken(context, cause)

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when {
            event !is ChannelInputShutdownEvent -> super.userEventTriggered(context, event)

            // A reset that a read has seen ends the stream too.
            isBroken -> Unit

            requests.isUnderWay -> requests.onWritten = { endStream(context, event) }

            else -> endStream(context, event)
        }
    }

    /** Passes by the decoder, which has heard of the end of the stream if that was a clean one. */
    override fun channelInactive(context: ChannelHandlerContext) {
        (context.pipeline().context(decoder) ?: context).fireChannelInactive()
    }

    // The decoder ends an answer without a length, and any other one stays incomplete.
    private fun endStream(context: ChannelHandlerContext, event: ChannelInputShutdownEvent) {
        context.fireUserEventTriggered(event)
        context.close()
    }

    private fun endBroken(context: ChannelHandlerContext, cause: Throwable) {
        isBroken = true
        context.fireExceptionCaught(cause)
        context.close()
    }
}
