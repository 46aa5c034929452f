package dev.bergamotwind.transport

import dev.bergamotwind.api.Header
import dev.bergamotwind.test.MalformedAnswers
import dev.bergamotwind.transport.TextAnswer.Companion.BROKEN
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.concurrent.TimeUnit

/** Guards against bytes that are no answer, or only a part of one, and reach a client as a whole answer. */
class BrokenAnswerSpec {
    private val loop = EventLoop()
    private val dialer = HttpDialer(loop)

    @AfterEach
    fun close() = loop.close()

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
        assertEquals(case.expected, server.use { answer(it, "POST", ByteArray(case.bytes)) })
    }

    data class AnswerCase(val name: String, val expected: String, val text: String, val method: String = "POST") {
        override fun toString() = name
    }

    // The connection stays open, so each case also guards against a client that waits for the rest until its deadline.
    @ParameterizedTest
    @MethodSource("malformedAnswers")
    fun `bytes that are no answer are not passed on`(case: AnswerCase) {
        val server = RawServer { connection ->
            connection.request()
            connection.send(case.text)
            connection.request()
        }
        assertEquals(case.expected, server.use { answer(it, case.method) })
    }

    // Guards against a check that refuses what RFC 9112 permits.
    @ParameterizedTest
    @MethodSource("soundAnswers")
    fun `an answer that the grammar permits is passed on, whatever the pieces in which it comes`(case: AnswerCase) {
        for (size in listOf(case.text.length, 7, 1)) {
            val server = RawServer { connection ->
                connection.request()
                case.text.chunked(size).forEach { connection.send(it) }
                connection.endStream()
            }
            assertEquals(case.expected, server.use { answer(it, case.method) }, "in pieces of $size bytes")
        }
    }

    private fun answer(server: RawServer, method: String, body: ByteArray = ByteArray(0)): String {
        val answer = TextAnswer()
        loop.execute { dialer.send(server.address, OutgoingRequest(method, "/", HOST, body, 1_000), answer) }
        return answer.end.get(5, TimeUnit.SECONDS)
    }

    companion object {

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

        @JvmStatic
        fun malformedAnswers(): List<AnswerCase> =
            MalformedAnswers.all.map { AnswerCase(MalformedAnswers.shown(it), BROKEN, it) }

        private fun framed(vararg fields: String, body: String, version: String = "HTTP/1.1", status: Int = 200) =
            MalformedAnswers.framed(*fields, body = body, version = version, status = status)

        private fun sound(name: String, expected: String, text: String, method: String = "POST") =
            AnswerCase(name, expected, text, method)

        @JvmStatic
        fun soundAnswers(): List<AnswerCase> = listOf(
            sound("a length", "200 ok", framed("Content-Length: 2", body = "ok")),
            sound("a length in other letters", "200 ok", framed("content-LENGTH:2  ", body = "ok")),
            sound("no reason", "200 ok", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok"),
            sound(
                "a reason of blanks and obs-text",
                "599 ok",
                "HTTP/1.1 599 A\tB \u00e9\r\nContent-Length: 2\r\n\r\nok",
            ),
            sound("an old version without a length", "200 ok", framed(body = "ok", version = "HTTP/1.0")),
            sound("no length", "200 ok", framed(body = "ok")),
            sound("no length, control bytes", "200 a\u0000\nb", framed(body = "a\u0000\nb")),
            sound("no length and no body", "200 ", framed(body = "")),
            sound("an empty value", "200 ok", framed("X-Empty:", "Content-Length: 2", body = "ok")),
            sound("blanks in a value", "200 ok", framed("X-F: \t a\t b: c \t", "Content-Length: 2", body = "ok")),
            sound("signs in a name", "200 ok", framed("!#\$%&'*+-.^_`|~: 1", "Content-Length: 2", body = "ok")),
            sound(
                "chunks",
                "200 okay",
                framed("Transfer-Encoding: Chunked", body = "2\r\nok\r\n02\r\nay\r\n00\r\n\r\n"),
            ),
            sound(
                "a chunk with an extension",
                "200 0123456789",
                framed("Transfer-Encoding: chunked", body = "A ; a=\"b\";c\r\n0123456789\r\n0;d\r\n\r\n"),
            ),
            sound(
                "chunks and trailers",
                "200 ok",
                framed("Transfer-Encoding: chunked", body = "2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"),
            ),
            sound("no content", "204 ", framed(body = "", status = 204)),
            sound("a reset of the content", "205 ", framed("Content-Length: 0", body = "", status = 205)),
            sound("not modified", "304 ", framed("Content-Length: 2", body = "", status = 304)),
            sound("the answer to HEAD", "200 ", framed("Content-Length: 2", body = ""), method = "HEAD"),
            sound(
                "interim answers",
                "200 ok",
                framed(body = "", status = 100) + framed("Link: a", body = "", status = 103) +
                    framed("Content-Length: 2", body = "ok"),
            ),
        )
    }
}
