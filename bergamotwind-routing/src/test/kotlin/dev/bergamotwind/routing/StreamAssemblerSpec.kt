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

/** Guards against tokens that are lost or sent twice, and against a terminal event after half an answer. */
class StreamAssemblerSpec {
    data class Case(val name: String, val expected: String, val events: List<String>) {
        override fun toString() = name
    }

    private class Caller(val assembler: StreamAssembler) {
        val text = StringBuilder()
        val ids = mutableSetOf<String?>()
        var broke = false
        var finishes = 0
        var terminals = 0

        /** Feeds [bytes] in pieces cut at random; true when the attempt broke. */
        fun receive(attempt: AttemptId, bytes: ByteArray, random: Random): Boolean {
            val reader = ServerSentEventReader()
            broke = false
            assembler.begin(attempt)
            var at = 0
            while (at < bytes.size) {
                val next = minOf(at + 1 + random.nextInt(40), bytes.size)
                reader.read(bytes.copyOfRange(at, next)).getOrNull()!!.forEach { take(assembler.accept(attempt, it)) }
                at = next
            }
            take(assembler.ended(attempt))
            return broke
        }

        private fun take(step: StreamStep) {
            broke = broke || step is StreamStep.Broken
            if (step is StreamStep.Finish) terminals++
            val chunk = StreamChunk.parse((step as? StreamStep.Deliver)?.data ?: return)!!
            text.append(chunk.text)
            ids += chunk.id
            if (chunk.finishReason != null) finishes++
        }
    }

    @ParameterizedTest
    @MethodSource("shapes")
    fun `each token arrives once when the stream is cut at every byte and resumed`(shape: ModelStream) {
        val random = Random(System.getProperty("seed", "1").toLong())
        val whole = shape.bytes(0, "first")
        for (cut in 0..whole.size) {
            val caller = Caller(StreamAssembler("""{"prompt":"p"}""", ThrowingInvariantMonitor))
            var broke = caller.receive(AttemptId(REQUEST, 1), whole.copyOf(cut), random)
            var number = 2
            while (broke) {
                assertTrue(number < 9) { "cannot be resumed: cut=$cut shape=$shape" }
                assertEquals(0, caller.terminals)
                val body = Json.parseToJsonElement(caller.assembler.resumeBody()!!).jsonObject
                val offset = body["resume_offset"]?.jsonPrimitive?.content?.toInt() ?: 0
                val rest = shape.bytes(offset, "attempt-$number")
                val length = if (number < 4) random.nextInt(rest.size) else rest.size
                broke = caller.receive(AttemptId(REQUEST, number++), rest.copyOf(length), random)
            }
            assertEquals(TOKENS.joinToString(""), caller.text.toString()) { "cut=$cut shape=$shape" }
            assertEquals(listOf(1, 1, 1), listOf(caller.finishes, caller.terminals, caller.ids.size)) { "cut=$cut" }
        }
    }

    @ParameterizedTest
    @MethodSource("faults")
    fun `a stream is broken when it`(case: Case) {
        val assembler = StreamAssembler("""{"n":${if ("choice" in case.name) 2 else 1}}""", ThrowingInvariantMonitor)
        assembler.begin(ATTEMPT)
        val steps = case.events.map { assembler.accept(ATTEMPT, it) } + assembler.ended(ATTEMPT)
        val reason = steps.filterIsInstance<StreamStep.Broken>().singleOrNull()?.failure?.message ?: "whole"
        assertTrue(case.expected in reason) { reason }
        assertEquals(reason == "whole", assembler.isWhole)
    }

    @Test
    fun `drops events of another attempt and does not resume what it cannot rebuild`() {
        val assembler = StreamAssembler("{}", ThrowingInvariantMonitor)
        assembler.begin(ATTEMPT)
        assertEquals(StreamStep.Drop, assembler.accept(AttemptId(RequestId("other"), 1), chunk("x")))
        assembler.accept(ATTEMPT, """{"choices":[{"delta":{"tool_calls":[{}]}}]}""")
        assertNull(assembler.resumeBody())
    }

    @Test
    fun `an event counts only when its blank line has come, and only within the size limit`() {
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
        fun shapes() = listOf(true, false).flatMap { chat ->
            listOf(ModelStream(TOKENS, chat)) + (1..3).flatMap { tokens ->
                listOf(0, tokens, 3 * tokens).map { ModelStream(TOKENS, chat, true, tokens, it) }
            }
        }

        @JvmStatic
        fun faults() = listOf(
            Case("never, if it is whole", "whole", listOf(chunk("a"), finish(), "[DONE]")),
            Case("has two choices that both end", "whole", listOf(finish(0), chunk("b"), finish(1), "[DONE]")),
            Case("has a choice that does not end", "no finish_reason", listOf(finish(0), "[DONE]")),
            Case("lacks the terminal event", "before its terminal", listOf(chunk("a"), finish())),
            Case("lacks the finish reason", "no finish_reason", listOf(chunk("a"), "[DONE]")),
            Case("is empty", "before its terminal", listOf()),
            Case("has a gap", "lacks the tokens 1 to 1", listOf(chunk("a"), chunk("c", "\"offset\":2,"))),
            Case("differs from the delivered text", "differs", listOf(chunk("a"), chunk("b", "\"offset\":0,"))),
            Case("goes on after its end", "continues", listOf(finish(), chunk("a"))),
            Case("reports an error", "reported an error", listOf(chunk("a"), """{"error":{}}""")),
            Case("sends what is no JSON", "no JSON", listOf("{\"choices\":")),
        )
    }
}
