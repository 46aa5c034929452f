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

/** Sends one request as a caller, prints the answer and exits with 1 unless the answer is whole. */
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
        val answer = WebClient.of(url).execute(headers(), body()).aggregate().join()
        echo("status=${answer.status().code()} request=${answer.headers().get("x-request-id")}")
        echo(answer.contentUtf8())
        if (!isWhole(answer)) {
            echo("the answer is not whole", err = true)
            throw ProgramResult(1)
        }
    }

    private fun headers(): RequestHeaders {
        val target = if (model.isEmpty()) path else "/v1/chat/completions"
        val builder = RequestHeaders.builder(HttpMethod.POST, target).contentType(MediaType.JSON)
        if (key.isNotEmpty()) builder.add("authorization", "Bearer $key")
        if (idempotencyKey.isNotEmpty()) builder.add("idempotency-key", idempotencyKey)
        return builder.build()
    }

    private fun body(): String {
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

    private fun isWhole(answer: AggregatedHttpResponse): Boolean {
        val text = answer.contentUtf8()
        val expected = EngineCompletion.tokensOf(prompt, tokens)
        return answer.status().isSuccess && when {
            model.isEmpty() -> text.isNotEmpty()
            stream -> expected.all { JsonPrimitive(it).toString() in text } && text.trimEnd().endsWith("[DONE]")
            else -> JsonPrimitive(expected.joinToString("")).toString() in text
        }
    }
}
