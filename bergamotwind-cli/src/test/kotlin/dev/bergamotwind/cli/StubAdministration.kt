package dev.bergamotwind.cli

import arrow.core.Either
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.SystemClock
import dev.bergamotwind.configuration.ConfigurationChange
import dev.bergamotwind.configuration.ConfigurationJson
import dev.bergamotwind.configuration.ConfigurationLog
import dev.bergamotwind.configuration.ErrorResponse
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.SubmissionJson
import dev.bergamotwind.configuration.SubmitChanges
import dev.bergamotwind.core.HybridTime
import dev.bergamotwind.core.TimeLineEvent
import dev.bergamotwind.test.InMemoryKeyValueService
import dev.bergamotwind.test.KeyValueFaults
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.builtins.ListSerializer
import java.net.InetSocketAddress

/** The administration API of one node over the real change log, with a time line of two events. */
class StubAdministration(name: String, service: InMemoryKeyValueService, eventMillis: List<Long>) : AutoCloseable {
    val faults = KeyValueFaults()
    val log = ConfigurationLog(service.client(faults), SystemClock)

    @Volatile
    var drained = false
    private val events = eventMillis.map {
        val fields = listOf(EventField("team", "joiners"))
        TimeLineEvent(HybridTime(it, 0), name, EventKind("request.admitted"), RequestId("r$it"), fields)
    }
    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .workerGroup(1)
        .decorator { delegate, context, request ->
            if (request.headers().get("authorization") == "Bearer secret") {
                delegate.serve(context, request)
            } else {
                refused(Failure.Unauthenticated("wrong credential"))
            }
        }
        .service("/administration/v1/configuration") { _, _ ->
            answer(OperatorConfiguration.serializer(), log.readLatest())
        }
        .service("/administration/v1/changes") { _, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    val body = SubmissionJson.decodeFromString(SubmitChanges.serializer(), it.contentUtf8())
                    answer(ConfigurationChange.serializer(), log.submit(body.edits, body.author, body.id))
                },
            )
        }
        .service("/administration/v1/status") { _, _ ->
            HttpResponse.of(MediaType.JSON_UTF_8, """{"vm":"$name","revision":3}""")
        }
        .service("/administration/v1/timeline") { context, _ ->
            val request = context.queryParam("request")
            val found = events.filter { request == null || it.request?.value == request }
            answer(ListSerializer(TimeLineEvent.serializer()), Either.Right(found))
        }
        .service("/administration/v1/drain") { _, _ -> HttpResponse.of(HttpStatus.ACCEPTED).also { drained = true } }
        .build()
        .also { it.start().join() }

    val url = "http://127.0.0.1:${server.activeLocalPort()}"

    private fun <T> answer(serializer: SerializationStrategy<T>, result: Either<Failure, T>): HttpResponse =
        result.fold(::refused) {
            HttpResponse.of(MediaType.JSON_UTF_8, ConfigurationJson.encodeToString(serializer, it))
        }

    private fun refused(failure: Failure): HttpResponse = HttpResponse.of(
        HttpStatus.valueOf(failure.status),
        MediaType.JSON_UTF_8,
        ConfigurationJson.encodeToString(ErrorResponse.serializer(), ErrorResponse.of(failure)),
    )

    // Not joined: no case depends on the end of the shutdown.
    override fun close() {
        server.stop()
    }
}
