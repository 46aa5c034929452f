package dev.bergamotwind.test

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Sends one request to a node, prints the response and exits with 1 unless the response is complete. */
public class AskCommand : CliktCommand(name = "ask") {
    private val url by option("--url", help = "base URL of a node").required()
    private val key by option("--key", help = "key to send").default("")
    private val model by option("--model", help = "model to ask; without it the prompt goes to --path").default("")
    private val path by option("--path", help = "path of a plain service").default("/")
    private val idempotencyKey by option("--idempotency-key", help = "idempotency key to send").default("")
    private val stream by option("--stream", help = "ask for server-sent events").flag()
    private val tokens by option("--tokens", help = "tokens of the answer").int().default(8)
    private val prompt by argument(help = "question, or body for a plain service")

    override fun run() {
        val response = WebClient.of(url).execute(buildHeaders(), buildBody()).aggregate().join()
        echo("status=${response.status().code()} request=${response.headers().get("x-request-id")}")
        echo(response.contentUtf8())
        if (!isComplete(response)) {
            echo("the response is not complete", err = true)
            throw ProgramResult(1)
        }
    }

    private fun buildHeaders(): RequestHeaders {
        val requestPath = if (model.isEmpty()) path else "/v1/chat/completions"
        val builder = RequestHeaders.builder(HttpMethod.POST, requestPath).contentType(MediaType.JSON)
        if (key.isNotEmpty()) builder.add("authorization", "Bearer $key")
        if (idempotencyKey.isNotEmpty()) builder.add("idempotency-key", idempotencyKey)
        return builder.build()
    }

    private fun buildBody(): String {
        if (model.isEmpty()) return prompt
        val message = buildJsonObject {
            put("role", "user")
            put("content", prompt)
        }
        return buildJsonObject {
            put("model", model)
            put("stream", stream)
            put("max_tokens", tokens)
            put("messages", buildJsonArray { add(message) })
        }.toString()
    }

    private fun isComplete(response: AggregatedHttpResponse): Boolean {
        val text = response.contentUtf8()
        val expected = EngineCompletion.tokensOf(prompt, tokens)
        return response.status().isSuccess && when {
            model.isEmpty() -> text.isNotEmpty()
            stream -> expected.all { JsonPrimitive(it).toString() in text } && text.trimEnd().endsWith("[DONE]")
            else -> JsonPrimitive(expected.joinToString("")).toString() in text
        }
    }
}
