package dev.bergamotwind.transport

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/** Tells whether a request is still being written to a connection. Closes the connection when writing fails. */
internal class RequestWrites : ChannelOutboundHandlerAdapter() {
    /** True from the head of a request until the kernel has taken its last byte. */
    var isUnderWay = false
        private set

    /** Called when the kernel has taken a whole request. */
    var onWritten: () -> Unit = {}

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message is HttpRequest) {
            isUnderWay = true
            if (HttpUtil.getContentLength(message, 0L) > SEND_BUFFER_BYTES) {
                context.channel().config().setOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            }
        }
        val isLast = message is LastHttpContent
        val ended = ChannelFutureListener { written ->
            if (!written.isSuccess) context.close()
            if (written.isSuccess && isLast) {
                isUnderWay = false
                onWritten()
            }
        }
        super.write(context, message, promise.unvoid().addListener(ended))
    }
}
