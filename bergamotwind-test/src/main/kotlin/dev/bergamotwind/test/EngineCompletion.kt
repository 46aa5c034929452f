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

/** One completion request to an [EngineServer]. The response depends only on the prompt, so all engines agree. */
public class EngineCompletion(private val body: JsonObject, private val chat: Boolean) {
    private val modelName = body.getValue("model").jsonPrimitive.content
    private val prompt = extractPrompt(body)

    /** Whether the response is streamed as server-sent events. */
    public val stream: Boolean = body["stream"]?.jsonPrimitive?.boolean ?: false

    /** Requested model. */
    public val model: ModelId = ModelId(modelName.substringBefore(':'))

    /** Requested adapter, or null for the model alone. */
    public val adapter: AdapterId? = modelName.substringAfter(':', "").ifEmpty { null }?.let(::AdapterId)

    /** Number of tokens that the client already received. */
    public val resumeOffset: Int = body["resume_offset"]?.jsonPrimitive?.int ?: 0

    /** All tokens of the response. */
    public val tokens: List<String> = tokensOf(prompt, body["max_tokens"]?.jsonPrimitive?.int ?: DEFAULT_TOKENS)

    /** Renders the token at [index] as the data of a server-sent event. */
    public fun renderTokenEvent(index: Int): String = renderEvent {
        if (chat) putJsonObject("delta") { put("content", tokens[index]) } else put("text", tokens[index])
        put("finish_reason", JsonPrimitive(null as String?))
    }

    /** Renders the data of the last event before `[DONE]`, which carries the finish reason. */
    public fun renderFinishEvent(): String = renderEvent {
        if (chat) putJsonObject("delta") {} else put("text", "")
        put("finish_reason", "stop")
    }

    /** Renders the body of a response that is not streamed. */
    public fun renderResponse(): String = buildJsonObject {
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

    private fun renderEvent(fillChoice: kotlinx.serialization.json.JsonObjectBuilder.() -> Unit): String {
        val choice = buildJsonObject {
            put("index", 0)
            fillChoice()
        }
        return buildJsonObject {
            put("id", "completion")
            put("object", if (chat) "chat.completion.chunk" else "text_completion")
            put("model", modelName)
            putJsonArray("choices") { add(choice) }
            if (choice["finish_reason"] == JsonPrimitive("stop")) put("usage", usage())
        }.toString()
    }

    private fun usage(): JsonObject = buildJsonObject {
        put("prompt_tokens", prompt.length / BYTES_PER_TOKEN + 1)
        put("completion_tokens", tokens.size)
        put("total_tokens", prompt.length / BYTES_PER_TOKEN + 1 + tokens.size)
    }

    /** Parses requests and computes responses. */
    public companion object {
        private const val BYTES_PER_TOKEN = 4
        private const val DEFAULT_TOKENS = 16

        /** Parses the request body [text]. */
        public fun parse(text: String, chat: Boolean): EngineCompletion =
            EngineCompletion(Json.parseToJsonElement(text).jsonObject, chat)

        /** Returns the [count] tokens of the response to [prompt]; tests compare a received response with these. */
        public fun tokensOf(prompt: String, count: Int): List<String> {
            val seed = prompt.hashCode().toUInt()
            return List(count) { "w${(seed + it.toUInt() * 7919u) % 10_000u} " }
        }

        /** Returns the prompt of the request [body], or the joined contents of its messages. */
        public fun extractPrompt(body: JsonObject): String = body["prompt"]?.jsonPrimitive?.content
            ?: body.getValue("messages").jsonArray.joinToString("\n") {
                it.jsonObject.getValue("content").jsonPrimitive.content
            }
    }
}
