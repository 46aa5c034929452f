package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import dev.bergamotwind.test.MalformedAnswers
import dev.bergamotwind.test.RawAnswerServer
import dev.bergamotwind.test.SecondAnswerServer
import dev.bergamotwind.test.SecondAnswerServer.Companion.answer
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.net.Socket

/** Guards against callers that get the answer to another request. */
class TargetClientSpec {
    class SecondAnswerCase(
        private val name: String,
        val first: String,
        val next: String,
        val received: List<String>,
        val second: String = first,
    ) {
        override fun toString() = name
    }

    // Guards against a second answer of a target that is taken for the answer to the next request on its connection.
    @ParameterizedTest
    @MethodSource("secondAnswers")
    fun `does not take a late second answer for the answer to the next request`(case: SecondAnswerCase) {
        SecondAnswerServer(case.first, case.second, case.next).use { target ->
            TargetClient().use { client ->
                assertEquals(case.received, List(2) { runBlocking { client.receive(target.address) } })
                assertEquals(listOf(1, 2), target.connections)
            }
        }
    }

    // Guards against bytes that are no answer, or only a part of one, and reach a caller as a whole answer. The library
    // repairs some of them, and takes a reset for the end of an answer without a length.
    @ParameterizedTest
    @MethodSource("brokenAnswers")
    fun `does not take broken bytes for an answer`(case: BrokenAnswerCase) {
        RawAnswerServer(case.text, case.end).use { target ->
            TargetClient().use { client ->
                val received = runBlocking {
                    withTimeoutOrNull(CALL_MILLIS) { client.receive(target.address, ByteArray(case.requestBytes)) }
                } ?: NO_END
                assertEquals(case.isAnswer, Regex("[0-9]+ .*").matches(received)) { received }
                assertNotEquals(NO_END, received)
            }
        }
    }

    class BrokenAnswerCase(
        private val name: String,
        val text: String,
        val end: Socket.() -> Unit,
        val requestBytes: Int = 2,
        val isAnswer: Boolean = false,
    ) {
        override fun toString() = name
    }

    private suspend fun TargetClient.receive(address: String, body: ByteArray = "{}".toByteArray()): String {
        val headers = RequestHeaders.of(HttpMethod.POST, "/v1/completions")
        return send(address, headers, HttpData.wrap(body), timeoutMillis = 10_000).fold({ it.message }) {
            val status = it.headers.status().code()
            it.aggregate(address).fold({ failure -> failure.message }) { body -> "$status ${body.toStringUtf8()}" }
        }
    }

    private companion object {
        const val CHUNKED =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n7\r\n answer\r\n0\r\n\r\n"

        const val CALL_MILLIS = 3_000L
        const val NO_END = "no end"
        const val UNSIZED = "HTTP/1.1 200 OK\r\n\r\npart"
        const val LONG_REQUEST_BYTES = 32_000_000

        @JvmStatic
        fun brokenAnswers(): List<BrokenAnswerCase> = MalformedAnswers.all.map {
            BrokenAnswerCase(MalformedAnswers.shown(it), it, RawAnswerServer.stayOpen)
        } + listOf(
            BrokenAnswerCase("no length, the stream ends", UNSIZED, RawAnswerServer.endStream, isAnswer = true),
            BrokenAnswerCase("no length, reset", UNSIZED, RawAnswerServer.reset),
            BrokenAnswerCase(
                "no length, reset before a long request",
                UNSIZED,
                RawAnswerServer.reset,
                LONG_REQUEST_BYTES,
            ),
            BrokenAnswerCase("no length, closed before a long request", UNSIZED, Socket::close, LONG_REQUEST_BYTES),
        )

        @JvmStatic
        fun secondAnswers() = listOf(
            SecondAnswerCase(
                "the answer to an earlier request once more",
                answer(200, "first answer"),
                answer(200, "next answer"),
                listOf("200 first answer", "200 next answer"),
            ),
            SecondAnswerCase(
                "a stream once more",
                CHUNKED,
                answer(200, "next answer"),
                listOf("200 first answer", "200 next answer"),
            ),
            SecondAnswerCase(
                "an earlier success, and the next request is refused",
                answer(200, "first answer"),
                answer(404, "next answer"),
                listOf("200 first answer", "404 next answer"),
            ),
            SecondAnswerCase(
                "an earlier refusal, and the next request succeeds",
                answer(503, "first answer", "X-Draining: true"),
                answer(200, "next answer"),
                listOf("503 first answer", "200 next answer"),
            ),
            SecondAnswerCase(
                "an error after the answer",
                answer(200, "first answer"),
                answer(200, "next answer"),
                listOf("200 first answer", "200 next answer"),
                second = answer(500, "second answer"),
            ),
            SecondAnswerCase(
                "another body with the status of the answer",
                answer(200, "first answer"),
                answer(200, "next answer"),
                listOf("200 first answer", "200 next answer"),
                second = answer(200, "second answer"),
            ),
        )
    }
}
