package dev.bergamotwind.platform

import arrow.core.Either
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.EngineAction
import dev.bergamotwind.api.EngineOrder
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.FencingNumber
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.test.SecondAnswerServer
import dev.bergamotwind.test.SecondAnswerServer.Companion.answer
import dev.bergamotwind.test.ServerTransport
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against an order that counts as received although the engine refused it, or as not run although it may be. */
class HttpEngineControlSpec {
    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .workerGroup(ServerTransport.workers, false)
        .gracefulShutdownTimeoutMillis(0, 0)
        .service("/control/orders") { _, request ->
            HttpResponse.of(
                request.aggregate().thenApply { whole ->
                    val received = Json.decodeFromString<EngineOrder>(whole.contentUtf8())
                    when (received.number) {
                        0L -> HttpResponse.streaming()
                        1L -> HttpResponse.of(HttpStatus.OK)
                        2L -> HttpResponse.of(HttpStatus.CONFLICT)
                        else -> HttpResponse.of(HttpStatus.valueOf(received.number.toInt()))
                    }
                },
            )
        }
        .service("/control/report") { _, _ -> HttpResponse.of(MediaType.JSON, Json.encodeToString(report)) }
        .build().also { it.start().join() }
    private val control = HttpEngineControl(300.milliseconds) { id ->
        if (id == target) "127.0.0.1:${server.activeLocalPort()}" else null
    }

    @AfterEach
    fun close() {
        control.close()
        server.stop()
    }

    @Test
    fun `an order is received, refused as stale, refused, or of unknown outcome`() {
        assertTrue(control.send(order).isRight())
        assertTrue(control.send(order.copy(number = 2)).leftOrNull() is Failure.Conflict)
        val outcomes = listOf(404L, 500L, 0L).map { control.send(order.copy(number = it)).leftOrNull()?.run }
        assertEquals(listOf(RunOutcome.NOT_RUN, RunOutcome.UNKNOWN, RunOutcome.UNKNOWN), outcomes)
    }

    @Test
    fun `reads a report, and fails for an unknown target`() {
        assertEquals(report, control.report(target).getOrNull())
        assertTrue(control.report(TargetId("other")).leftOrNull() is Failure.NotFound)
    }

    @Test
    fun `an unreachable target has not run the order`() {
        HttpEngineControl { "127.0.0.1:1" }.use { assertTrue(it.send(order).leftOrNull() is Failure.Unavailable) }
    }

    class SecondAnswerCase(
        private val name: String,
        val first: String,
        val next: String,
        val calls: List<HttpEngineControl.() -> Either<Failure, Any>>,
        val received: List<String>,
    ) {
        override fun toString() = name
    }

    // Guards against a second answer of an engine that is taken for the outcome of the next order or for a new report.
    @ParameterizedTest
    @MethodSource("secondAnswers")
    fun `does not take a late second answer for the answer to the next call`(case: SecondAnswerCase) {
        SecondAnswerServer(case.first, case.first, case.next).use { engine ->
            HttpEngineControl(10.seconds) { engine.address }.use { control ->
                val received = case.calls.map { call ->
                    control.call().fold({ it.code }) { if (it is EngineReport) "report ${it.lastOrder}" else "done" }
                }
                assertEquals(case.received, received)
                assertEquals(listOf(1, 2), engine.connections)
            }
        }
    }

    private companion object {
        val target = TargetId("engine-1")
        val artifact = Artifact(ModelId("m"), "1")
        val order = EngineOrder(target, 1, FencingNumber(7), EngineAction.LOAD, artifact, Mebibytes(10))
        val report = EngineReport(target, 1, 2, 3, Mebibytes(100))

        private fun reportAnswer(number: Long) = answer(200, Json.encodeToString(report.copy(lastOrder = number)))

        @JvmStatic
        fun secondAnswers(): List<SecondAnswerCase> {
            val sendOrder: HttpEngineControl.() -> Either<Failure, Any> = { send(order) }
            val readReport: HttpEngineControl.() -> Either<Failure, Any> = { report(target) }
            return listOf(
                SecondAnswerCase(
                    "an earlier success, and the next order is refused as stale",
                    answer(200),
                    answer(409),
                    listOf(sendOrder, sendOrder),
                    listOf("done", "conflict"),
                ),
                SecondAnswerCase(
                    "an earlier refusal, and the next order is accepted",
                    answer(409),
                    answer(200),
                    listOf(sendOrder, sendOrder),
                    listOf("conflict", "done"),
                ),
                SecondAnswerCase(
                    "an earlier report, and the next order is refused as stale",
                    reportAnswer(2),
                    answer(409),
                    listOf(readReport, sendOrder),
                    listOf("report 2", "conflict"),
                ),
                SecondAnswerCase(
                    "an earlier report, and a newer one is read",
                    reportAnswer(2),
                    reportAnswer(3),
                    listOf(readReport, readReport),
                    listOf("report 2", "report 3"),
                ),
            )
        }
    }
}
