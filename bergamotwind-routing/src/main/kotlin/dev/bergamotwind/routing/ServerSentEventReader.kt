package dev.bergamotwind.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import java.io.ByteArrayOutputStream

/**
 * Extracts the data of server-sent events from a byte stream that arrives in pieces of any size. An event without its
 * closing blank line is never returned. Not thread-safe.
 */
public class ServerSentEventReader(private val limitBytes: Int = STREAM_EVENT_LIMIT_BYTES) {
    private val currentLine = ByteArrayOutputStream()
    private val eventData = mutableListOf<String>()
    private var eventDataBytes = 0

    /** Appends [bytes] and returns the data of the events that they complete. */
    public fun read(bytes: ByteArray): Either<Failure, List<String>> {
        val events = mutableListOf<String>()
        var from = 0
        for (index in bytes.indices) {
            if (bytes[index] != LINE_FEED) continue
            currentLine.write(bytes, from, index - from)
            from = index + 1
            if (exceedsLimit()) return eventTooLarge()
            handleLine(events)
        }
        currentLine.write(bytes, from, bytes.size - from)
        return if (exceedsLimit()) eventTooLarge() else events.right()
    }

    private fun exceedsLimit() = currentLine.size() + eventDataBytes > limitBytes

    private fun handleLine(events: MutableList<String>) {
        val text = currentLine.toString(Charsets.UTF_8).removeSuffix("\r")
        currentLine.reset()
        when {
            text.startsWith(DATA_FIELD) -> {
                eventData += text.removePrefix(DATA_FIELD).removePrefix(" ")
                eventDataBytes += text.length
            }

            text.isEmpty() && eventData.isNotEmpty() -> {
                events += eventData.joinToString("\n")
                eventData.clear()
                eventDataBytes = 0
            }
        }
    }

    private fun eventTooLarge() =
        Failure.TargetFailed("the target sent an event above $limitBytes bytes", RunOutcome.RUN).left()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val DATA_FIELD = "data:"
    }
}
