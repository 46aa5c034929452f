package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.annotation.Blocking
import com.linecorp.armeria.server.annotation.Description
import com.linecorp.armeria.server.annotation.Get
import com.linecorp.armeria.server.annotation.Param
import com.linecorp.armeria.server.annotation.Post
import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.Failure
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.configuration.ConfigurationJson
import dev.bergamotwind.configuration.ConfigurationLog
import dev.bergamotwind.configuration.SubmissionJson
import dev.bergamotwind.configuration.SubmitChanges
import dev.bergamotwind.core.TimeLine
import kotlinx.serialization.SerializationException
import java.util.Optional

/** The operators' API. Every answer is JSON; errors have the form of [dev.bergamotwind.configuration.ErrorResponse]. */
internal class AdministrationApi(
    private val log: ConfigurationLog,
    private val applied: AppliedConfiguration,
    private val timeLine: TimeLine,
    private val status: () -> NodeStatus,
    private val onAccepted: () -> Unit,
    private val drain: () -> Unit,
) {
    /** Answers with the configuration in effect at this node. */
    @Get("/configuration")
    @Description("Returns the operator configuration in effect at this node.")
    fun configuration(): HttpResponse = json(ConfigurationJson.encodeToString(applied.current))

    /** Adds a change to the log; answers only after the log holds it. */
    @Post("/changes")
    @Blocking
    @Description(
        "Submits edits that take effect together or not at all. After a lost answer, repeat under the same id.",
    )
    fun submit(request: AggregatedHttpRequest): HttpResponse =
        parse(request.contentUtf8()).fold({ ErrorResponses.of(it) }, ::submit)

    /** Answers with the state of this node. */
    @Get("/status")
    @Description("Returns the state of this node, its peers with the revision in effect there, and its targets.")
    fun status(): HttpResponse = json(ConfigurationJson.encodeToString(status.invoke()))

    /** Answers with the events that this node keeps. */
    @Get("/timeline")
    @Description("Returns the events of this node, oldest first, filtered by request, kind prefix or any field value.")
    fun timeLine(
        @Param("request") request: Optional<String>,
        @Param("kind") kind: Optional<String>,
        @Param("team") team: Optional<String>,
        @Param("target") target: Optional<String>,
    ): HttpResponse {
        val fields = listOf(FieldFilter("team", team), FieldFilter("target", target))
        val events = timeLine.snapshot { event ->
            request.map { event.request?.value == it }.orElse(true) &&
                kind.map { event.kind.value.startsWith(it) }.orElse(true) &&
                fields.all { it.accepts(event.fields) }
        }
        return json(ConfigurationJson.encodeToString(events))
    }

    /** Begins a graceful shutdown. */
    @Post("/drain")
    @Description("Begins a graceful shutdown of this node.")
    fun drain(): HttpResponse {
        drain.invoke()
        return json("""{"state":"draining"}""", HttpStatus.ACCEPTED)
    }

    private fun submit(submitted: SubmitChanges): HttpResponse =
        log.submit(submitted.edits, submitted.author, submitted.id).fold(
            { ErrorResponses.of(it) },
            { change ->
                onAccepted()
                val fields = listOf(
                    EventField("revision", change.revision.toString()),
                    EventField("change", change.id.value),
                    EventField("author", change.author),
                )
                timeLine.record(EventKind("configuration.accepted"), null, fields)
                json(ConfigurationJson.encodeToString(change))
            },
        )

    private fun parse(text: String): Either<Failure, SubmitChanges> = try {
        SubmissionJson.decodeFromString<SubmitChanges>(text).right()
    } catch (failure: SerializationException) {
        Failure.Invalid(
            "the change cannot be read: ${failure.message?.lineSequence()?.first()}",
            "Send {\"id\", \"author\", \"edits\": [...]} as docs/administration-api.md describes.",
        ).left()
    }

    private fun json(text: String, status: HttpStatus = HttpStatus.OK): HttpResponse =
        HttpResponse.of(status, MediaType.JSON, text)

    private class FieldFilter(private val key: String, private val wanted: Optional<String>) {
        fun accepts(fields: List<EventField>): Boolean =
            wanted.map { value -> fields.any { it.key == key && it.value == value } }.orElse(true)
    }
}
