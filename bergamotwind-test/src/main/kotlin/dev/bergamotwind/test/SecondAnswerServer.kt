package dev.bergamotwind.test

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * A faulty HTTP/1 server that answers its first request twice. The first answer is [first]. If the next request comes
 * on the same connection, [second] arrives late, before [next], the answer to that request. A request on a connection
 * of its own gets [next] only.
 */
public class SecondAnswerServer(private val first: String, private val second: String, private val next: String) :
    AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val served = CopyOnWriteArrayList<Int>()

    /** The `IP:PORT` that accepts connections. */
    public val address: String = "127.0.0.1:${server.localPort}"

    /** For each request in the order of arrival, the number of its connection, counted from 1. */
    public val connections: List<Int> get() = served.toList()

    init {
        thread(isDaemon = true, name = "second-answer-server") {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                sockets += socket
                val number = sockets.size
                thread(isDaemon = true, name = "second-answer-$number") { runCatching { serve(socket, number) } }
            }
        }
    }

    private fun serve(socket: Socket, number: Int) {
        while (readRequest(socket)) {
            val answers = when {
                served.isEmpty() -> first
                number in served -> second + next
                else -> next
            }
            served += number
            socket.getOutputStream().write(answers.toByteArray())
        }
    }

    /** Reads a request with its body; false at the end of the connection. */
    private fun readRequest(socket: Socket): Boolean {
        val input = socket.getInputStream()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return false
            head.append(byte.toChar())
        }
        val length = CONTENT_LENGTH.find(head)?.groupValues?.get(1)?.toInt() ?: 0
        return input.readNBytes(length).size == length
    }

    override fun close() {
        server.close()
        sockets.forEach(Socket::close)
    }

    /** Makes the bytes of answers. */
    public companion object {
        private const val BACKLOG = 50
        private val CONTENT_LENGTH = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE)

        /** Returns the bytes of an answer with [status], [body] and further [headers], each as `name: value`. */
        public fun answer(status: Int, body: String = "", vararg headers: String): String {
            val lines = listOf("HTTP/1.1 $status Status", "Content-Length: ${body.toByteArray().size}") + headers
            return lines.joinToString("") { "$it\r\n" } + "\r\n" + body
        }
    }
}
