package dev.bergamotwind.transport

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the answers of one connection. It shows what the decoder of Netty hides: bytes that follow a whole answer, or
 * that arrive while no request waits. Kept, they would be joined with the answer to the next request.
 */
internal class AnswerDecoder(configuration: HttpDecoderConfig, private val connection: ClientConnection) :
    HttpResponseDecoder(configuration) {
    /** True when bytes have arrived that are not part of an answer yet. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf && connection.isIdle) {
            message.release()
            connection.endForUnexpectedBytes()
        } else {
            super.channelRead(context, message)
        }
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        connection.answersHaveNoBody || super.isContentAlwaysEmpty(message)
}
