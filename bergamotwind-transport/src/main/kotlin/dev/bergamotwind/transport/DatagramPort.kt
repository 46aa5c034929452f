package dev.bergamotwind.transport

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.net.InetSocketAddress

/** Sends and receives datagrams on one address; lost datagrams are not repeated. */
public class DatagramPort(private val loop: EventLoop, private val onDatagram: (InetSocketAddress, ByteArray) -> Unit) {
    private var channel: Channel? = null

    /** Opens the port; throws [java.io.IOException] when the address is taken. */
    public fun open(address: InetSocketAddress) {
        val handler = object : SimpleChannelInboundHandler<DatagramPacket>() {
            override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
                val content = packet.content()
                onDatagram(packet.sender(), ByteArray(content.readableBytes()).also(content::readBytes))
            }
        }
        channel = Bootstrap()
            .group(loop.group)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(DATAGRAM_LIMIT_BYTES))
            .handler(handler)
            .bind(address).sync().channel()
    }

    /** Sends [bytes] to [address]. */
    public fun send(address: InetSocketAddress, bytes: ByteArray) {
        channel?.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), address))
    }

    /** Closes the port. */
    public fun close() {
        channel?.close()
    }
}
