package dev.bergamotwind.transport

import dev.bergamotwind.api.Header
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Guards against bytes that are no answer, or only a part of one, and reach a client as a whole answer. */
class BrokenAnswerSpec {
    private val loop = EventLoop()
    private val dialer = HttpDialer(loop)

    @AfterEach
    fun close() = loop.close()

    private class Answer : AnswerListener {
        val end = CompletableFuture<String>()
        private var status = 0
        private val body = StringBuilder()

        override fun head(status: Int, headers: List<Header>) {
            this.status = status
        }

        override fun bytes(bytes: ByteArray) {
            body.append(bytes.decodeToString())
        }

        override fun complete() {
            end.complete("$status $body")
        }

        override fun notSent(reason: String) {
            end.complete("not sent")
        }

        override fun broken(reason: String) {
            end.complete(BROKEN)
        }
    }

    data class UploadCase(val name: String, val expected: String, val bytes: Int, val act: (RawConnection) -> Unit) {
        override fun toString() = "$name, $bytes bytes"
    }

    // Guards against the part of a body that is passed on as the whole, because the end of the connection was noticed
    // while the request was still being written.
    @ParameterizedTest
    @MethodSource("uploads")
    fun `an answer without a length is whole only by a clean end of the stream`(case: UploadCase) {
        val server = RawServer { connection ->
            connection.request(withBody = false)
            connection.send("HTTP/1.1 200 OK\r\n\r\npart")
            case.act(connection)
        }
        assertEquals(case.expected, server.use { answer(it, ByteArray(case.bytes)) })
    }

    private fun answer(server: RawServer, body: ByteArray): String {
        val answer = Answer()
        loop.execute { dialer.send(server.address, OutgoingRequest("POST", "/", HOST, body, 1_000), answer) }
        return answer.end.get(5, TimeUnit.SECONDS)
    }

    companion object {
        private const val BROKEN = "broken"

        /** The kernel takes the smaller one as a whole unless its buffer is limited, and never the larger one. */
        private val uploadBytes = listOf(3_500_000, 32_000_000)
        private val HOST = listOf(Header("Host", "h"))

        @JvmStatic
        fun uploads(): List<UploadCase> {
            val cuts = listOf<Pair<String, (RawConnection) -> Unit>>(
                "reset" to RawConnection::reset,
                "closed with unread bytes" to RawConnection::close,
            )
            val delayedCuts = cuts.flatMap { (name, act) ->
                listOf(0L, 1, 5, 20, 50, 200).map { millis ->
                    "$name after $millis ms" to { connection: RawConnection ->
                        Thread.sleep(millis)
                        act(connection)
                    }
                }
            }
            return uploadBytes.flatMap { bytes ->
                delayedCuts.map { (name, act) -> UploadCase(name, BROKEN, bytes, act) } +
                    UploadCase("the stream ends, the rest is read", "200 part", bytes, RawConnection::endStream)
            }
        }
    }
}
