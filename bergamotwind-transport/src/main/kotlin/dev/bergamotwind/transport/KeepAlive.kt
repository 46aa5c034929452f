package dev.bergamotwind.transport

import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** Lets the kernel probe silent connections, so that a peer that lost power is noticed without traffic. */
internal object KeepAlive {
    fun enable(channel: SocketChannel) {
        val configuration = channel.config()
        configuration.setOption(ChannelOption.SO_KEEPALIVE, true)
        configuration.setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
        configuration.setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
        configuration.setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
    }
}
