package dev.bergamotwind.transport

import dev.bergamotwind.core.AnswerMemory
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestEncoder
import java.net.InetSocketAddress

/**
 * Sends requests over kept or new connections. One request at a time uses a connection, nothing is ever sent twice,
 * and a connection is kept only after a complete answer that named its request and announced no end. Used on the event
 * loop.
 */
public class HttpDialer(
    private val loop: EventLoop,
    /** Hears of an answer that does not belong to the request that waits for one, with its sender and a description. */
    internal val onForeignAnswer: (InetSocketAddress, String) -> Unit = { _, _ -> },
) {
    /** Bounds what is kept of the answers. */
    public val answerMemory: AnswerMemory get() = loop.answerMemory
    private val kept = HashMap<InetSocketAddress, ArrayDeque<ClientConnection>>()

    /** Sends [request] to [address]; [listener] hears what becomes of it, never before this returns. */
    public fun send(address: InetSocketAddress, request: OutgoingRequest, listener: AnswerListener): OutgoingCall {
        val call = ClientCall(request, listener)
        val connection = if (request.mayUseKeptConnection) takeKept(address, request.reuseIdleMillis) else null
        if (connection == null) {
            connect(address, call)
        } else {
            // The kept connection may end before its turn, which says nothing about whether a new one can be made.
            loop.execute { if (connection.isOpen) connection.start(call) else connect(address, call) }
        }
        return call
    }

    internal fun keep(connection: ClientConnection) {
        kept.getOrPut(connection.address) { ArrayDeque() }.addLast(connection)
    }

    internal fun closed(connection: ClientConnection) {
        val idle = kept[connection.address] ?: return
        idle.remove(connection)
        if (idle.isEmpty()) kept.remove(connection.address)
    }

    private fun takeKept(address: InetSocketAddress, reuseIdleMillis: Long): ClientConnection? {
        val idle = kept[address] ?: return null
        while (idle.isNotEmpty()) {
            // The connection used last is the least likely to be closed by the other side.
            val connection = idle.removeLast()
            if (connection.isUsable(reuseIdleMillis)) return connection
            connection.close()
        }
        return null
    }

    private fun connect(address: InetSocketAddress, call: ClientCall) {
        val connection = ClientConnection(address, this)
        val initializer = object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) = prepare(channel, connection)
        }
        val connecting = Bootstrap()
            .group(loop.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, call.request.connectTimeoutMillis)
            .handler(initializer)
            .connect(address)
        call.connecting = connecting.channel()
        connecting.addListener { result ->
            if (result.isSuccess) {
                connection.start(call)
            } else {
                call.notSent("connecting failed: ${result.cause()?.message}")
            }
        }
    }

    private fun prepare(channel: Channel, connection: ClientConnection) {
        KeepAlive.enable(channel as SocketChannel)
        val configuration = HttpDecoderConfig()
            .setMaxInitialLineLength(FIRST_LINE_LIMIT_BYTES)
            .setMaxHeaderSize(ANSWER_HEADER_LIMIT_BYTES)
            .setMaxChunkSize(BODY_CHUNK_BYTES)
        val decoder = AnswerDecoder(configuration, connection)
        connection.hasUnreadBytes = decoder::hasUnreadBytes
        val requests = RequestWrites()
        val filter = AnswerFilter(AnswerSyntax { connection.answersHaveNoBody }, decoder.javaClass, requests)
        channel.pipeline().addLast(HttpRequestEncoder(), filter, decoder, requests, connection)
    }
}
