package dev.bergamotwind.transport

import dev.bergamotwind.api.Header
import dev.bergamotwind.transport.TextAnswer.Companion.BROKEN
import dev.bergamotwind.transport.TextAnswer.Companion.NOT_SENT
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.concurrent.TimeUnit

/** Guards against a piece of a second answer that is joined with the true answer to the next request. */
class AnswerPieceSpec {
    private val loop = EventLoop()
    private val dialer = HttpDialer(loop)

    @AfterEach
    fun close() = loop.close()

    /** When the piece is written. */
    enum class Timing { WITH_THE_FIRST_ANSWER, WHILE_IDLE, BEFORE_THE_SECOND_ANSWER }

    data class PieceCase(val timing: Timing, val second: String, val trueStatus: String)

    // Guards against a success that is passed on for a request whose target answered with a failure: the first line of
    // the piece becomes that of the true answer. Every length of the piece is tried.
    @ParameterizedTest
    @MethodSource("pieces")
    fun `a piece of a second answer is not joined with the next answer`(case: PieceCase) {
        val ends = (1..case.second.length).associateWith { length -> endAfter(case, case.second.take(length)) }
        val whole = "${case.trueStatus.take(3)} own"
        assertEquals(emptyMap<Int, String>(), ends.filterValues { it != whole && it != BROKEN && it != NOT_SENT })
    }

    private fun endAfter(case: PieceCase, piece: String): String {
        val server = RawServer { connection ->
            if (connection.request()?.contains("r-1") == true) {
                connection.send(answer("r-1", "200 OK", "first") + piece.takeIf { case.timing.ordinal == 0 }.orEmpty())
                if (case.timing == Timing.WHILE_IDLE) connection.send(piece)
                connection.request() ?: return@RawServer
                if (case.timing == Timing.BEFORE_THE_SECOND_ANSWER) connection.send(piece)
            }
            connection.send(answer("r-2", case.trueStatus, "own"))
            connection.request()
        }
        return server.use {
            assertEquals("200 first", send(server, "r-1"))
            if (case.timing == Timing.WHILE_IDLE) Thread.sleep(IDLE_MILLIS)
            send(server, "r-2")
        }
    }

    private fun send(server: RawServer, id: String): String {
        val answer = TextAnswer()
        val name = Header(ID, id)
        val request = OutgoingRequest("GET", "/", listOf(name), ByteArray(0), 1_000, 5_000, echoedHeader = name)
        loop.execute { dialer.send(server.address, request, answer) }
        return answer.end.get(5, TimeUnit.SECONDS)
    }

    companion object {
        private const val ID = "X-Id"
        private const val IDLE_MILLIS = 10L

        private fun answer(id: String?, status: String, body: String): String {
            val name = id?.let { "$ID: $it\r\n" }.orEmpty()
            return "HTTP/1.1 $status\r\nContent-Type: text/plain\r\n${name}Content-Length: ${body.length}\r\n\r\n$body"
        }

        @JvmStatic
        fun pieces(): List<PieceCase> = Timing.entries.flatMap { timing ->
            listOf(answer("r-1", "200 OK", "first"), answer(null, "200 OK", "first")).flatMap { second ->
                listOf("200 OK", "500 Error", "503 Busy").map { PieceCase(timing, second, it) }
            }
        }
    }
}
