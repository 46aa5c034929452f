package dev.bergamotwind.platform

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
import dev.bergamotwind.test.ServerTransport
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds

/** Guards against an order that counts as received although the engine refused it, or as not run although it may be. */
class HttpEngineControlSpec {
    private val target = TargetId("engine-1")
    private val artifact = Artifact(ModelId("m"), "1")
    private val order = EngineOrder(target, 1, FencingNumber(7), EngineAction.LOAD, artifact, Mebibytes(10))
    private val report = EngineReport(target, 1, 2, 3, Mebibytes(100))
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
}
