package dev.bergamotwind.routing

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull

/** The parts of one chat or text completion chunk that [StreamAssembler] needs. */
internal class StreamChunk private constructor(private val json: JsonObject) {
    private val choices = (json["choices"] as? JsonArray).orEmpty()
    private val choice = choices.firstOrNull() as? JsonObject
    private val delta = choice?.get("delta") as? JsonObject

    /** Text of the chunk, empty when the chunk has none. */
    val text: String = textOf(delta?.get("content")) ?: textOf(choice?.get("text")) ?: ""
    val finishReason: String? = textOf(choice?.get("finish_reason"))
    val id: String? = textOf(json["id"])

    /** Index of the first token of the chunk, when the engine sends one. */
    val offset: Int? = (json["offset"] as? JsonPrimitive)?.intOrNull

    /** Number of tokens in the chunk. Engines that put several tokens into one chunk send their number. */
    val tokenCount: Int = (json["tokens"] as? JsonPrimitive)?.intOrNull ?: if (text.isEmpty()) 0 else 1

    /** Whether the chunk is an error report of the engine. */
    val isError: Boolean = "error" in json

    /** Whether [text] and [finishReason] are the only content; a stream with other content cannot be resumed. */
    val isPlainText: Boolean =
        choices.size <= 1 && delta?.keys.orEmpty().all { it in PLAIN_DELTA_KEYS || delta?.get(it) is JsonNull }

    /** Whether the chunk reports token usage. */
    val hasUsage: Boolean = json["usage"] is JsonObject

    /** Index of the choice that the chunk belongs to. */
    val choiceIndex: Int = (choice?.get("index") as? JsonPrimitive)?.intOrNull ?: 0

    /** Returns the JSON of the chunk with its id replaced by [id], unless null, and its text replaced by [newText]. */
    fun withIdAndText(id: String?, newText: String): String {
        val withId = if (id == null) json else JsonObject(json + ("id" to JsonPrimitive(id)))
        val originalChoice = choice
        if (newText == text || originalChoice == null) return withId.toString()
        val trimmedChoice = if (delta == null) {
            JsonObject(originalChoice + ("text" to JsonPrimitive(newText)))
        } else {
            JsonObject(originalChoice + ("delta" to JsonObject(delta + ("content" to JsonPrimitive(newText)))))
        }
        return JsonObject(withId + ("choices" to JsonArray(listOf(trimmedChoice)))).toString()
    }

    internal companion object {
        private val PLAIN_DELTA_KEYS = setOf("content", "role")

        /** Parses the data of an event, or returns null if it is not a JSON object. */
        fun parse(data: String): StreamChunk? = parseObject(data)?.let(::StreamChunk)

        /** Parses [text], or returns null if it is not a JSON object. */
        fun parseObject(text: String): JsonObject? = try {
            Json.parseToJsonElement(text) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

        private fun textOf(element: Any?): String? = (element as? JsonPrimitive)?.takeIf { it !is JsonNull }?.content
    }
}
