package dev.bergamotwind.cli

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.client.BlockingWebClient
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryOptions
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.QueryParams
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.util.EventLoopGroups
import dev.bergamotwind.configuration.ConfigurationChange
import dev.bergamotwind.configuration.ConfigurationJson
import dev.bergamotwind.configuration.ErrorResponse
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.SubmitChanges
import dev.bergamotwind.core.TimeLineEvent
import dev.bergamotwind.transport.AnswerChecks
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.JsonObject
import java.net.URI
import java.time.Duration
import java.util.function.Consumer

/** Calls the administration API of [nodes]. Calls block. */
internal class AdministrationClient(private val nodes: List<URI>, private val credential: String) : AutoCloseable {
    private val factory = ClientFactory.builder()
        .workerGroup(EventLoopGroups.newEventLoopGroup(1, "administration-client", true), true)
        .connectTimeout(CONNECT_TIMEOUT)
        // The check of answers is one of HTTP/1.1.
        .preferHttp1(true)
        .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, Consumer(AnswerChecks::addTo))
        .build()
    private val clients = nodes.associateWith { client(it) }

    /** Reads the configuration from the first node that answers. */
    fun configuration(): Either<AdministrationError, OperatorConfiguration> =
        first { call(it, HttpMethod.GET, "configuration", OperatorConfiguration.serializer()) }

    /**
     * Submits a change. The next node is asked when one gives no clear answer: the change's id lets it enter the log
     * only once.
     */
    fun submit(submission: SubmitChanges): Either<AdministrationError, ConfigurationChange> {
        val body = ConfigurationJson.encodeToString(SubmitChanges.serializer(), submission)
        return first { call(it, HttpMethod.POST, "changes", ConfigurationChange.serializer(), body) }
    }

    /** Reads the status of each node. */
    fun status(): List<NodeAnswer<JsonObject>> = each { call(it, HttpMethod.GET, "status", JsonObject.serializer()) }

    /** Reads the time line of each node. */
    fun timeline(request: String?, kind: String?): List<NodeAnswer<List<TimeLineEvent>>> {
        val query = QueryParams.builder()
        request?.let { query.add("request", it) }
        kind?.let { query.add("kind", it) }
        val path = "timeline?" + query.build().toQueryString()
        return each { call(it, HttpMethod.GET, path, ListSerializer(TimeLineEvent.serializer())) }
    }

    /** Starts a graceful shutdown of each node. */
    fun drain(): List<NodeAnswer<Unit>> = each { node -> exchange(node, HttpMethod.POST, "drain", "").map { } }

    /** Does not wait: every answer has been read, and Netty's shutdown would delay each command by two seconds. */
    override fun close() {
        factory.closeAsync()
    }

    private fun <T> each(action: (URI) -> Either<AdministrationError, T>): List<NodeAnswer<T>> =
        nodes.map { NodeAnswer(it, action(it)) }

    private fun <T> first(action: (URI) -> Either<AdministrationError, T>): Either<AdministrationError, T> {
        val failures = mutableListOf<AdministrationError>()
        for (node in nodes) {
            val result = action(node)
            val failure = result.leftOrNull()
            if (failure == null || !mayAskNext(failure)) return result
            failures += failure
        }
        // An answer tells more than its absence: a lost write must not read as a node that was never reached.
        return (failures.firstOrNull { it !is AdministrationError.Unreachable } ?: failures.first()).left()
    }

    private fun mayAskNext(failure: AdministrationError): Boolean = failure is AdministrationError.Unreachable ||
        (failure is AdministrationError.Refused && failure.error.type in UNCLEAR_ERRORS)

    private fun <T> call(
        node: URI,
        method: HttpMethod,
        path: String,
        serializer: DeserializationStrategy<T>,
        body: String = "",
    ): Either<AdministrationError, T> = exchange(node, method, path, body).flatMap { text ->
        try {
            ConfigurationJson.decodeFromString(serializer, text).right()
        } catch (failure: SerializationException) {
            AdministrationError.Unexpected(node, failure.message.orEmpty().lineSequence().first()).left()
        }
    }

    /** Returns the body of a successful answer. */
    private fun exchange(
        node: URI,
        method: HttpMethod,
        path: String,
        body: String,
    ): Either<AdministrationError, String> {
        val headers = RequestHeaders.builder(method, "$PATH_PREFIX/$path")
            .contentType(MediaType.JSON_UTF_8)
            .add(HttpHeaderNames.AUTHORIZATION, "Bearer $credential")
            .build()
        return Either.catch { clients.getValue(node).execute(headers, body) }
            .mapLeft { AdministrationError.Unreachable(node, "${(it as? UnprocessedRequestException)?.cause ?: it}") }
            .flatMap { if (it.status().isSuccess) it.contentUtf8().right() else refusal(node, it).left() }
    }

    private fun refusal(node: URI, response: AggregatedHttpResponse): AdministrationError = try {
        val answer = ConfigurationJson.decodeFromString(ErrorResponse.serializer(), response.contentUtf8())
        AdministrationError.Refused(node, answer.error)
    } catch (_: SerializationException) {
        AdministrationError.Unexpected(node, "status ${response.status()}")
    }

    private fun client(node: URI): BlockingWebClient = WebClient.builder(node)
        .factory(factory)
        .responseTimeout(RESPONSE_TIMEOUT)
        .maxResponseLength(MAXIMUM_ANSWER_BYTES)
        .build()
        .blocking()

    private companion object {
        const val PATH_PREFIX = "/administration/v1"
        const val MAXIMUM_ANSWER_BYTES = 256L * 1024 * 1024
        val CONNECT_TIMEOUT: Duration = Duration.ofSeconds(3)
        val RESPONSE_TIMEOUT: Duration = Duration.ofSeconds(30)

        /** Errors after which another node may settle the same submission. */
        val UNCLEAR_ERRORS = setOf("write_outcome_unknown", "unavailable", "overloaded")
    }
}
