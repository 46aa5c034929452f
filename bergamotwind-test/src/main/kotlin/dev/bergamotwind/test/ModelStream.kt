package dev.bergamotwind.test

import kotlinx.serialization.json.Json

/**
 * Renders [tokens] as a stream of server-sent events like an engine. With [offsets], chunks hold [chunkTokens] tokens
 * and say where they start, and a resumed stream repeats the last [overlap] tokens.
 */
public data class ModelStream(
    private val tokens: List<String>,
    private val chat: Boolean,
    private val offsets: Boolean = false,
    private val chunkTokens: Int = 1,
    private val overlap: Int = 0,
) {
    /** Renders the stream with [id] for a caller that has the first [delivered] tokens. */
    public fun bytes(delivered: Int, id: String): ByteArray = buildString {
        if (chat) event(id, "", """{"delta":{"role":"assistant"}}""")
        val start = if (offsets) maxOf(delivered - overlap, 0) else delivered
        for (chunk in (start until tokens.size).chunked(if (offsets) chunkTokens else 1)) {
            val text = Json.encodeToString(chunk.joinToString("") { tokens[it] })
            val fields = if (offsets) "\"offset\":${chunk.first()},\"tokens\":${chunk.size}," else ""
            event(id, fields, if (chat) "{\"delta\":{\"content\":$text}}" else "{\"text\":$text}")
        }
        append(": comment\n\n")
        event(id, "\"usage\":{},", """{"delta":{},"finish_reason":"stop"}""")
        append("data: [DONE]\n\n")
    }.encodeToByteArray()

    private fun StringBuilder.event(id: String, fields: String, choice: String) {
        append("data: {\"id\":\"$id\",$fields\"choices\":[$choice]}\r\n\r\n")
    }
}
