package dev.bergamotwind.serving.call

import dev.bergamotwind.core.AnswerBuffer

/**
 * Splits the bytes of a server-sent event stream into complete events, wherever the chunks are cut. The bytes of an
 * event are kept as received; an event that is not terminated by a blank line is never returned.
 */
internal class EventSplitter {
    private val event = AnswerBuffer()
    private val line = AnswerBuffer()
    private var id: Long? = null

    /** True when bytes of an incomplete event have arrived. */
    val hasPartialEvent: Boolean get() = event.size() > 0

    /** Bytes of memory that the incomplete event takes. */
    val keptBytes: Long get() = event.capacityBytes + line.capacityBytes

    /** Returns the events that [bytes] complete, or null when an event exceeds the size limit. */
    fun append(bytes: ByteArray): List<StreamEvent>? {
        val events = mutableListOf<StreamEvent>()
        for (byte in bytes) {
            event.write(byte.toInt())
            if (byte == LINE_FEED) endLine(events) else line.write(byte.toInt())
        }
        return events.takeIf { event.size() <= STREAM_EVENT_LIMIT_BYTES }
    }

    private fun endLine(events: MutableList<StreamEvent>) {
        val text = line.toString(Charsets.UTF_8).removeSuffix("\r")
        line.reset()
        if (text.startsWith(ID_FIELD)) id = text.removePrefix(ID_FIELD).trim().toLongOrNull()
        if (text.isNotEmpty()) return
        events += StreamEvent(id, event.toByteArray())
        event.reset()
        id = null
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
