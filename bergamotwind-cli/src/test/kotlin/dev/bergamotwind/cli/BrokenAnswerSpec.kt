package dev.bergamotwind.cli

import dev.bergamotwind.test.MalformedAnswers
import dev.bergamotwind.test.RawAnswerServer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.net.Socket
import java.net.URI

/** Guards against a node's broken bytes that an operator takes for the confirmation of a shutdown. */
class BrokenAnswerSpec {
    class AnswerCase(private val name: String, val text: String, val end: Socket.() -> Unit) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("brokenAnswers")
    fun `a command that gets broken bytes fails`(case: AnswerCase) {
        RawAnswerServer(case.text, case.end).use { server ->
            AdministrationClient(listOf(URI("http://${server.address}")), "secret").use { client ->
                assertEquals(listOf(true), client.drain().map { it.result.isLeft() })
            }
        }
    }

    private companion object {
        @JvmStatic
        fun brokenAnswers(): List<AnswerCase> = MalformedAnswers.all.map {
            AnswerCase(MalformedAnswers.shown(it), it, RawAnswerServer.stayOpen)
        } + AnswerCase("no length, reset", "HTTP/1.1 200 OK\r\n\r\n", RawAnswerServer.reset)
    }
}
