package dev.bergamotwind.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import java.io.ByteArrayOutputStream

/**
 * Splits a byte stream into the data of server-sent events, however the bytes are cut. An event that its blank line
 * does not end is never returned. For one thread at a time.
 */
public class ServerSentEventReader(private val limitBytes: Int = STREAM_EVENT_LIMIT_BYTES) {
    private val line = ByteArrayOutputStream()
    private val data = mutableListOf<String>()
    private var dataBytes = 0

    /** Returns the data of the events that [bytes] complete. */
    public fun read(bytes: ByteArray): Either<Failure, List<String>> {
        val events = mutableListOf<String>()
        var from = 0
        for (index in bytes.indices) {
            if (bytes[index] != LINE_FEED) continue
            line.write(bytes, from, index - from)
            from = index + 1
            if (isTooLarge()) return tooLarge()
            endLine(events)
        }
        line.write(bytes, from, bytes.size - from)
        return if (isTooLarge()) tooLarge() else events.right()
    }

    private fun isTooLarge() = line.size() + dataBytes > limitBytes

    private fun endLine(events: MutableList<String>) {
        val text = line.toString(Charsets.UTF_8).removeSuffix("\r")
        line.reset()
        when {
            text.startsWith(DATA_FIELD) -> {
                data += text.removePrefix(DATA_FIELD).removePrefix(" ")
                dataBytes += text.length
            }

            text.isEmpty() && data.isNotEmpty() -> {
                events += data.joinToString("\n")
                data.clear()
                dataBytes = 0
            }
        }
    }

    private fun tooLarge() =
        Failure.TargetFailed("the target sent an event above $limitBytes bytes", RunOutcome.RUN).left()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val DATA_FIELD = "data:"
    }
}
