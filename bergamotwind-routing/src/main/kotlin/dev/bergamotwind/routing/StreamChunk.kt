package dev.bergamotwind.routing

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull

/** One chunk of a chat or text completion, as far as assembly needs to know it. */
internal class StreamChunk private constructor(private val json: JsonObject) {
    private val choices = (json["choices"] as? JsonArray).orEmpty()
    private val choice = choices.firstOrNull() as? JsonObject
    private val delta = choice?.get("delta") as? JsonObject

    /** Text of the chunk; empty when it has none. */
    val text: String = textOf(delta?.get("content")) ?: textOf(choice?.get("text")) ?: ""
    val finishReason: String? = textOf(choice?.get("finish_reason"))
    val id: String? = textOf(json["id"])

    /** Index of the first token, when the engine sends one. */
    val offset: Int? = (json["offset"] as? JsonPrimitive)?.intOrNull

    /** Number of tokens; engines that put several into one chunk say how many. */
    val tokens: Int = (json["tokens"] as? JsonPrimitive)?.intOrNull ?: if (text.isEmpty()) 0 else 1

    /** Whether the engine reports that it failed. */
    val isError: Boolean = "error" in json

    /** Whether the chunk says only what [text] and [finishReason] say; others cannot be resumed. */
    val isPlainText: Boolean =
        choices.size <= 1 && delta?.keys.orEmpty().all { it in PLAIN_KEYS || delta?.get(it) is JsonNull }

    /** Whether the chunk reports the use of tokens. */
    val hasUsage: Boolean = json["usage"] is JsonObject

    /** Index of the choice that the chunk belongs to. */
    val choiceIndex: Int = (choice?.get("index") as? JsonPrimitive)?.intOrNull ?: 0

    /** Returns the chunk with the [id] of the first attempt and only the [rest] of its text. */
    fun rewritten(id: String?, rest: String): String {
        val withId = if (id == null) json else JsonObject(json + ("id" to JsonPrimitive(id)))
        val known = choice
        if (rest == text || known == null) return withId.toString()
        val cut = if (delta == null) {
            JsonObject(known + ("text" to JsonPrimitive(rest)))
        } else {
            JsonObject(known + ("delta" to JsonObject(delta + ("content" to JsonPrimitive(rest)))))
        }
        return JsonObject(withId + ("choices" to JsonArray(listOf(cut)))).toString()
    }

    internal companion object {
        private val PLAIN_KEYS = setOf("content", "role")

        /** Parses the data of an event, or returns null if it is no JSON object. */
        fun parse(data: String): StreamChunk? = objectOf(data)?.let(::StreamChunk)

        /** Parses [text], or returns null if it is no JSON object. */
        fun objectOf(text: String): JsonObject? = try {
            Json.parseToJsonElement(text) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

        private fun textOf(element: Any?): String? = (element as? JsonPrimitive)?.takeIf { it !is JsonNull }?.content
    }
}
