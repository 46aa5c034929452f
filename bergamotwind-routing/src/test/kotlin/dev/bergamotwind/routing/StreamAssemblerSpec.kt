package dev.bergamotwind.routing

import dev.bergamotwind.api.RequestId
import dev.bergamotwind.test.ModelStream
import dev.bergamotwind.test.ThrowingInvariantMonitor
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/** Checks that no token is lost or sent twice and that no terminal event follows a partial answer. */
class StreamAssemblerSpec {
    data class Case(val name: String, val expected: String, val events: List<String>) {
        override fun toString() = name
    }

    private class Caller(val assembler: StreamAssembler) {
        val text = StringBuilder()
        val ids = mutableSetOf<String?>()
        var attemptFailed = false
        var finishReasons = 0
        var terminalEvents = 0

        /** Feeds [bytes] in pieces of random length; returns whether the attempt failed. */
        fun receive(attempt: AttemptId, bytes: ByteArray, random: Random): Boolean {
            val reader = ServerSentEventReader()
            attemptFailed = false
            assembler.beginAttempt(attempt)
            var offset = 0
            while (offset < bytes.size) {
                val next = minOf(offset + 1 + random.nextInt(40), bytes.size)
                val events = reader.read(bytes.copyOfRange(offset, next)).getOrNull()!!
                events.forEach { record(assembler.acceptEvent(attempt, it)) }
                offset = next
            }
            record(assembler.handleConnectionEnd(attempt))
            return attemptFailed
        }

        private fun record(action: StreamAction) {
            attemptFailed = attemptFailed || action is StreamAction.Fail
            if (action is StreamAction.Finish) terminalEvents++
            val chunk = StreamChunk.parse((action as? StreamAction.Deliver)?.data ?: return)!!
            text.append(chunk.text)
            ids += chunk.id
            if (chunk.finishReason != null) finishReasons++
        }
    }

    @ParameterizedTest
    @MethodSource("streams")
    fun `each token arrives once when the stream is cut at every byte and resumed`(stream: ModelStream) {
        val random = Random(System.getProperty("seed", "1").toLong())
        val whole = stream.bytes(0, "first")
        for (cut in 0..whole.size) {
            val caller = Caller(StreamAssembler("""{"prompt":"p"}""", ThrowingInvariantMonitor))
            var attemptFailed = caller.receive(AttemptId(REQUEST, 1), whole.copyOf(cut), random)
            var number = 2
            while (attemptFailed) {
                assertTrue(number < 9) { "cannot be resumed: cut=$cut shape=$stream" }
                assertEquals(0, caller.terminalEvents)
                val body = Json.parseToJsonElement(caller.assembler.resumeBody()!!).jsonObject
                val offset = body["resume_offset"]?.jsonPrimitive?.content?.toInt() ?: 0
                val rest = stream.bytes(offset, "attempt-$number")
                val length = if (number < 4) random.nextInt(rest.size) else rest.size
                attemptFailed = caller.receive(AttemptId(REQUEST, number++), rest.copyOf(length), random)
            }
            assertEquals(TOKENS.joinToString(""), caller.text.toString()) { "cut=$cut shape=$stream" }
            val counts = listOf(caller.finishReasons, caller.terminalEvents, caller.ids.size)
            assertEquals(listOf(1, 1, 1), counts) { "cut=$cut" }
        }
    }

    @ParameterizedTest
    @MethodSource("faults")
    fun `a stream is broken when it`(case: Case) {
        val assembler = StreamAssembler("""{"n":${if ("choice" in case.name) 2 else 1}}""", ThrowingInvariantMonitor)
        assembler.beginAttempt(ATTEMPT)
        val actions = case.events.map { assembler.acceptEvent(ATTEMPT, it) } + assembler.handleConnectionEnd(ATTEMPT)
        val reason = actions.filterIsInstance<StreamAction.Fail>().singleOrNull()?.failure?.message ?: "whole"
        assertTrue(case.expected in reason) { reason }
        assertEquals(reason == "whole", assembler.isComplete)
    }

    @Test
    fun `drops events of another attempt and does not resume a stream with tool calls`() {
        val assembler = StreamAssembler("{}", ThrowingInvariantMonitor)
        assembler.beginAttempt(ATTEMPT)
        assertEquals(StreamAction.Drop, assembler.acceptEvent(AttemptId(RequestId("other"), 1), chunk("x")))
        assembler.acceptEvent(ATTEMPT, """{"choices":[{"delta":{"tool_calls":[{}]}}]}""")
        assertNull(assembler.resumeBody())
    }

    @Test
    fun `an event is returned only after its closing blank line and only within the size limit`() {
        val reader = ServerSentEventReader(limitBytes = 20)
        assertEquals(listOf<String>(), reader.read("event: e\ndata: a\nid: 1\n: c\ndata:b\n".toByteArray()).getOrNull())
        assertEquals(listOf("a\nb", "c"), reader.read("\r\n\n\ndata: c\n\ndata: d".toByteArray()).getOrNull())
        assertTrue(reader.read("\ndata: 123456789".toByteArray()).isLeft())
    }

    companion object {
        private val REQUEST = RequestId("request")
        private val ATTEMPT = AttemptId(REQUEST, 1)
        private val TOKENS = listOf("a", " b", "ä", "😀 ", "a", "\"q\"", "\n\n", "data: ", "end")

        private fun chunk(text: String, fields: String = "") = """{$fields"choices":[{"text":"$text"}]}"""

        private fun finish(index: Int = 0) = """{"choices":[{"index":$index,"text":"","finish_reason":"stop"}]}"""

        @JvmStatic
        fun streams() = listOf(true, false).flatMap { chat ->
            listOf(ModelStream(TOKENS, chat)) + (1..3).flatMap { tokens ->
                listOf(0, tokens, 3 * tokens).map { ModelStream(TOKENS, chat, true, tokens, it) }
            }
        }

        @JvmStatic
        fun faults() = listOf(
            Case("never, for a complete stream", "whole", listOf(chunk("a"), finish(), "[DONE]")),
            Case("never, for two choices that both end", "whole", listOf(finish(0), chunk("b"), finish(1), "[DONE]")),
            Case("has a choice that does not end", "no finish_reason", listOf(finish(0), "[DONE]")),
            Case("lacks the terminal event", "before its terminal", listOf(chunk("a"), finish())),
            Case("lacks the finish reason", "no finish_reason", listOf(chunk("a"), "[DONE]")),
            Case("is empty", "before its terminal", listOf()),
            Case("has a gap", "lacks the tokens 1 to 1", listOf(chunk("a"), chunk("c", "\"offset\":2,"))),
            Case("differs from the delivered text", "differs", listOf(chunk("a"), chunk("b", "\"offset\":0,"))),
            Case("continues after its end", "continues", listOf(finish(), chunk("a"))),
            Case("reports an error", "reported an error", listOf(chunk("a"), """{"error":{}}""")),
            Case("sends an event that is not JSON", "not a JSON object", listOf("{\"choices\":")),
        )
    }
}
