package dev.bergamotwind.transport

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A server on a real socket that answers with raw bytes, and misbehaves as a test tells it to. */
class RawServer(private val behave: (connection: RawConnection) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    val accepted = AtomicInteger()
    val requests = CopyOnWriteArrayList<String>()
    val address = InetSocketAddress(InetAddress.getLoopbackAddress(), server.localPort)

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                accepted.incrementAndGet()
                sockets += socket
                thread(isDaemon = true) { runCatching { behave(RawConnection(socket, requests)) } }
            }
        }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }
}

/** One connection of a [RawServer]. */
class RawConnection(private val socket: Socket, private val requests: MutableList<String>) {
    /** Reads the head of a request and as much body as it declares; null at the end. */
    fun request(withBody: Boolean = true): String? {
        val input = socket.getInputStream()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().takeIf { it >= 0 }?.toChar() ?: return null)
        val length =
            Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE).find(head)?.groupValues?.get(1)?.toInt() ?: 0
        val body = if (withBody) input.readNBytes(length).decodeToString() else ""
        return (head.toString() + body).also { requests += it }
    }

    fun send(text: String) {
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
    }

    /** Sends [start] and then [repeated] until the other side closes, with a bound for the test's own sake. */
    fun sendWithoutEnd(start: String, repeated: String) {
        send(start)
        repeat(50_000) { send(repeated) }
    }

    fun close() = socket.close()

    /** Ends the stream to the other side, and reads on until that ends its own. */
    fun endStream() {
        socket.shutdownOutput()
        socket.getInputStream().skip(Long.MAX_VALUE)
    }

    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    fun isClosedByPeer(): Boolean = socket.getInputStream().read() < 0
}
