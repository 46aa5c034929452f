package dev.bergamotwind.platform

import arrow.core.Either
import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.EngineAction
import dev.bergamotwind.api.EngineOrder
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.FencingNumber
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.test.MalformedAnswers
import dev.bergamotwind.test.RawAnswerServer
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.net.Socket
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/** Guards against broken bytes that are taken for the answer of an engine to an order, or for one of the platform. */
class BrokenAnswerSpec {
    class AnswerCase(
        private val name: String,
        val text: String,
        val end: Socket.() -> Unit,
        val call: (address: String) -> Either<Failure, Any>,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("brokenAnswers")
    fun `a call that gets broken bytes fails at once`(case: AnswerCase) {
        RawAnswerServer(case.text, case.end).use { server ->
            val (result, duration) = measureTimedValue { case.call(server.address) }
            assertTrue(result.isLeft()) { "$result" }
            assertTrue(duration < TIMEOUT) { "$result after $duration" }
        }
    }

    private companion object {
        /** Long enough for the longest answer that is read. */
        val TIMEOUT = 10.seconds
        val target = TargetId("engine-1")
        val order =
            EngineOrder(target, 1, FencingNumber(7), EngineAction.LOAD, Artifact(ModelId("m"), "1"), Mebibytes(10))
        const val UNSIZED = "HTTP/1.1 200 OK\r\n\r\n"
        val endless = RawAnswerServer.writeWithoutEnd("x".repeat(65_536))

        fun sendOrder(address: String) = HttpEngineControl(TIMEOUT) { address }.use { it.send(order) }

        fun callPlatform(address: String): Either<Failure, Any> {
            val settings = PlatformSettings(listOf(address), callTimeout = TIMEOUT)
            return PlatformClient(settings, SimpleMeterRegistry()).use { it.call(CallKind.VIRTUAL_MACHINES) }
        }

        @JvmStatic
        fun brokenAnswers(): List<AnswerCase> =
            listOf("order" to ::sendOrder, "platform" to ::callPlatform).flatMap { (name, call) ->
                MalformedAnswers.all.map {
                    AnswerCase("$name, ${MalformedAnswers.shown(it)}", it, RawAnswerServer.stayOpen, call)
                } + listOf(
                    AnswerCase("$name, no length, reset", UNSIZED, RawAnswerServer.reset, call),
                    AnswerCase("$name, a body without end", UNSIZED, endless, call),
                )
            }
    }
}
