package dev.bergamotwind.transport

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.HttpClientCodec

/**
 * Surrounds the codec of a client with the check of answers once the client has connected. A client that adds its
 * codec later, as after a handshake of TLS, goes without.
 */
internal class AnswerCheckInstaller : ChannelInboundHandlerAdapter() {
    override fun channelActive(context: ChannelHandlerContext) {
        val pipeline = context.pipeline()
        val codec = pipeline.context(HttpClientCodec::class.java)?.name() ?: return super.channelActive(context)
        val requests = RequestWrites()
        val filter = AnswerFilter(AnswerSyntax { false }, HttpClientCodec::class.java, requests)
        // Without the filter, nothing would close a half-closed connection.
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        pipeline.addBefore(codec, null, filter).addAfter(codec, null, requests)
        super.channelActive(context)
    }
}
