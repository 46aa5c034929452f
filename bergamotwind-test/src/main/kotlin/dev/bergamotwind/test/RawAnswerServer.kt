package dev.bergamotwind.test

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A server that writes [answer] as soon as it has read the head of a request, and then acts as [end] says. */
public class RawAnswerServer(private val answer: String, private val end: Socket.() -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** The `IP:PORT` that accepts connections. */
    public val address: String = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true, name = "raw-answer-server") {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                sockets += socket
                // The client may close the connection at any point.
                thread(isDaemon = true, name = "raw-answer-${sockets.size}") { runCatching { serve(socket) } }
            }
        }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().takeIf { it >= 0 }?.toChar() ?: return)
        socket.getOutputStream().write(answer.toByteArray())
        socket.end()
    }

    override fun close() {
        server.close()
        sockets.forEach(Socket::close)
    }

    /** What a server does after its answer. */
    public companion object {
        private const val BACKLOG = 50

        /** Keeps the connection open until the client closes it. */
        public val stayOpen: Socket.() -> Unit = { getInputStream().skip(Long.MAX_VALUE) }

        /** Ends the stream and reads on. */
        public val endStream: Socket.() -> Unit = {
            shutdownOutput()
            stayOpen()
        }

        /** Resets the connection. */
        public val reset: Socket.() -> Unit = {
            setSoLinger(true, 0)
            close()
        }

        /** Writes [piece] without end, with a bound for the sake of the test. */
        public fun writeWithoutEnd(piece: String): Socket.() -> Unit = {
            val bytes = piece.toByteArray()
            repeat(PIECES) { getOutputStream().write(bytes) }
        }

        private const val PIECES = 20_000
    }
}
