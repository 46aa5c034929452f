package dev.bergamotwind.test

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** One request to an engine stand-in. The answer depends only on the prompt, so any engine gives the same. */
public class EngineCompletion(private val body: JsonObject, private val chat: Boolean) {
    private val modelName = body.getValue("model").jsonPrimitive.content
    private val prompt = promptOf(body)

    /** Whether the caller wants server-sent events. */
    public val stream: Boolean = body["stream"]?.jsonPrimitive?.boolean ?: false

    /** Model that is asked for. */
    public val model: ModelId = ModelId(modelName.substringBefore(':'))

    /** Adapter that is asked for. */
    public val adapter: AdapterId? = modelName.substringAfter(':', "").ifEmpty { null }?.let(::AdapterId)

    /** Number of tokens that the caller already has. */
    public val resumeOffset: Int = body["resume_offset"]?.jsonPrimitive?.int ?: 0

    /** All tokens of the answer. */
    public val tokens: List<String> = tokensOf(prompt, body["max_tokens"]?.jsonPrimitive?.int ?: DEFAULT_TOKENS)

    /** Renders one token as the data of a server-sent event. */
    public fun tokenEvent(index: Int): String = event {
        if (chat) putJsonObject("delta") { put("content", tokens[index]) } else put("text", tokens[index])
        put("finish_reason", JsonPrimitive(null as String?))
    }

    /** Renders the terminal event before `[DONE]`. */
    public fun finishEvent(): String = event {
        if (chat) putJsonObject("delta") {} else put("text", "")
        put("finish_reason", "stop")
    }

    /** Renders the answer that is not streamed. */
    public fun wholeAnswer(): String = buildJsonObject {
        put("id", "completion")
        put("object", if (chat) "chat.completion" else "text_completion")
        put("model", modelName)
        putJsonArray("choices") {
            add(
                buildJsonObject {
                    put("index", 0)
                    if (chat) {
                        putJsonObject("message") {
                            put("role", "assistant")
                            put("content", tokens.joinToString(""))
                        }
                    } else {
                        put("text", tokens.joinToString(""))
                    }
                    put("finish_reason", "stop")
                },
            )
        }
        put("usage", usage())
    }.toString()

    private fun event(choice: kotlinx.serialization.json.JsonObjectBuilder.() -> Unit): String {
        val chosen = buildJsonObject {
            put("index", 0)
            choice()
        }
        return buildJsonObject {
            put("id", "completion")
            put("object", if (chat) "chat.completion.chunk" else "text_completion")
            put("model", modelName)
            putJsonArray("choices") { add(chosen) }
            if (chosen["finish_reason"] == JsonPrimitive("stop")) put("usage", usage())
        }.toString()
    }

    private fun usage(): JsonObject = buildJsonObject {
        put("prompt_tokens", prompt.length / BYTES_PER_TOKEN + 1)
        put("completion_tokens", tokens.size)
        put("total_tokens", prompt.length / BYTES_PER_TOKEN + 1 + tokens.size)
    }

    /** Parses requests and computes answers. */
    public companion object {
        private const val BYTES_PER_TOKEN = 4
        private const val DEFAULT_TOKENS = 16

        /** Parses [text], the body of a request. */
        public fun parse(text: String, chat: Boolean): EngineCompletion =
            EngineCompletion(Json.parseToJsonElement(text).jsonObject, chat)

        /** The tokens of the answer to [prompt]; tests compare what a caller got with these. */
        public fun tokensOf(prompt: String, count: Int): List<String> {
            val seed = prompt.hashCode().toUInt()
            return List(count) { "w${(seed + it.toUInt() * 7919u) % 10_000u} " }
        }

        /** The text an engine answers from: the prompt, or the contents of the messages. */
        public fun promptOf(body: JsonObject): String = body["prompt"]?.jsonPrimitive?.content
            ?: body.getValue("messages").jsonArray.joinToString("\n") {
                it.jsonObject.getValue("content").jsonPrimitive.content
            }
    }
}
