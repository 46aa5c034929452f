package dev.bergamotwind.test

import kotlinx.serialization.json.Json

/**
 * Renders [tokens] as the server-sent events of a model engine. With [offsets], each chunk holds [chunkTokens] tokens
 * and states its start offset, and a resumed stream repeats the last [overlap] tokens.
 */
public data class ModelStream(
    private val tokens: List<String>,
    private val chat: Boolean,
    private val offsets: Boolean = false,
    private val chunkTokens: Int = 1,
    private val overlap: Int = 0,
) {
    /** Renders the stream with [id] for a client that already received the first [delivered] tokens. */
    public fun bytes(delivered: Int, id: String): ByteArray = buildString {
        if (chat) appendEvent(id, "", """{"delta":{"role":"assistant"}}""")
        val start = if (offsets) maxOf(delivered - overlap, 0) else delivered
        for (chunk in (start until tokens.size).chunked(if (offsets) chunkTokens else 1)) {
            val text = Json.encodeToString(chunk.joinToString("") { tokens[it] })
            val fields = if (offsets) "\"offset\":${chunk.first()},\"tokens\":${chunk.size}," else ""
            appendEvent(id, fields, if (chat) "{\"delta\":{\"content\":$text}}" else "{\"text\":$text}")
        }
        append(": comment\n\n")
        appendEvent(id, "\"usage\":{},", """{"delta":{},"finish_reason":"stop"}""")
        append("data: [DONE]\n\n")
    }.encodeToByteArray()

    private fun StringBuilder.appendEvent(id: String, fields: String, choice: String) {
        append("data: {\"id\":\"$id\",$fields\"choices\":[$choice]}\r\n\r\n")
    }
}
