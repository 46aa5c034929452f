package dev.bergamotwind.transport

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import java.net.InetSocketAddress

/** Accepts HTTP/1.1 connections on one address and hands whole requests to a handler. */
public class HttpListener(
    private val loop: EventLoop,
    private val limits: () -> ListenerLimits,
    private val handler: IncomingHandler,
) {
    private val connections = LinkedHashSet<ServerConnection>()
    private var listening: Channel? = null
    private var sweeping: (() -> Unit)? = null

    /** Opens the listener; throws [java.io.IOException] when the address is taken. */
    public fun open(address: InetSocketAddress) {
        val initializer = object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) = prepare(channel)
        }
        listening = ServerBootstrap()
            .group(loop.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                WriteBufferWaterMark(WRITE_QUEUE_LOW_BYTES, WRITE_QUEUE_HIGH_BYTES),
            )
            .childHandler(initializer)
            .bind(address).sync().channel()
        loop.execute(::sweep)
    }

    /** True while an answer has not been handed to the kernel as a whole. Read on the event loop. */
    public val hasUnsentAnswers: Boolean get() = connections.any { it.isAnswering }

    /**
     * Ends connections that have no request, as part of a graceful stop. One that has just been opened or used is kept
     * for a moment, because its caller may have sent a request. Runs on the event loop.
     */
    public fun closeIdle(): Unit =
        connections.toList().forEach { if (it.isIdle && it.silentMillis >= NEXT_REQUEST_MILLIS) it.close() }

    /** Stops accepting connections and ends all that are open. */
    public fun close() {
        listening?.close()
        loop.execute {
            sweeping?.invoke()
            connections.toList().forEach(ServerConnection::close)
        }
    }

    private fun prepare(channel: SocketChannel) {
        KeepAlive.enable(channel)
        val connection = ServerConnection(limits, loop.answerMemory, handler) { connections -= it }
        connections += connection
        val configuration = HttpDecoderConfig()
            .setMaxInitialLineLength(FIRST_LINE_LIMIT_BYTES)
            .setMaxHeaderSize(limits().headerBytes)
            .setMaxChunkSize(BODY_CHUNK_BYTES)
        channel.pipeline().addLast(HttpServerCodec(configuration), connection)
    }

    private fun sweep() {
        connections.toList().forEach(ServerConnection::closeIfExpired)
        sweeping = loop.schedule(IDLE_SWEEP_MILLIS, ::sweep)
    }
}
