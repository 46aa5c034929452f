package dev.bergamotwind.routing

import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.RunOutcome
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull
import java.util.TreeMap

/**
 * Assembles one model stream from one or more attempts so that the caller gets each token exactly once. A resumed
 * attempt starts at the token after the last delivered one unless its chunks carry an `offset`. Not thread-safe.
 * Source: design page, section 4.5.
 */
public class StreamAssembler(private val requestBody: String, private val monitor: InvariantMonitor) {
    private val parsedRequest = StreamChunk.parseObject(requestBody)

    // With several choices, the tokens of different choices are interleaved, so only the end of each choice is checked.
    private val choiceCount = (parsedRequest?.get("n") as? JsonPrimitive)?.intOrNull ?: 1
    private val endedChoices = mutableSetOf<Int>()
    private val delivered = StringBuilder()

    /** Length of the delivered text at each token index where a chunk began or ended. */
    private val boundaries = TreeMap<Int, Int>().apply { put(0, 0) }
    private var attempt: AttemptId? = null
    private var streamId: String? = null
    private var position = 0
    private var resumed = false
    private var onlyPlainText = true
    private var anyDelivered = false
    private var finishReasonDelivered = false
    private var usageDelivered = false
    private var terminated = false
    private var attemptFailed = false

    /** Number of tokens delivered to the caller. */
    public var deliveredTokens: Int = 0
        private set

    /** Text delivered to the caller. */
    public val deliveredText: String get() = delivered.toString()

    /** Whether the whole answer, including its terminal event, was delivered to the caller. */
    public val isComplete: Boolean get() = terminated

    /** Starts attempt [next]; events of earlier attempts are dropped from now on. */
    public fun beginAttempt(next: AttemptId) {
        resumed = anyDelivered
        attempt = next
        position = deliveredTokens
        attemptFailed = false
    }

    /** Processes the data of one event that attempt [from] received. */
    public fun acceptEvent(from: AttemptId, data: String): StreamAction = when {
        from != attempt || terminated || attemptFailed -> StreamAction.Drop

        data.trim() == TERMINAL_DATA -> handleTerminalEvent()

        else -> StreamChunk.parse(data)?.let { handleChunk(it, data) }
            ?: failAttempt("the target sent an event that is not a JSON object")
    }

    /** Processes the end of the connection of attempt [from]. */
    public fun handleConnectionEnd(from: AttemptId): StreamAction =
        if (from != attempt || terminated || attemptFailed) {
            StreamAction.Drop
        } else {
            failAttempt("the stream ended before its terminal event")
        }

    /**
     * Returns the request body that resumes the stream at another target, or null when the stream cannot be resumed.
     */
    public fun resumeBody(): String? {
        if (!anyDelivered) return requestBody
        if (!onlyPlainText || terminated || parsedRequest == null) return null
        val resumeFields = mapOf<String, JsonElement>(
            RESUME_OFFSET_FIELD to JsonPrimitive(deliveredTokens),
            RESUME_TEXT_FIELD to JsonPrimitive(deliveredText),
        )
        return JsonObject(parsedRequest + resumeFields).toString()
    }

    private fun handleTerminalEvent(): StreamAction {
        if (!finishReasonDelivered) return failAttempt("the stream has a terminal event but no finish_reason")
        terminated = true
        val whole = position == deliveredTokens
        monitor.check(Invariant.WHOLE_ANSWER, whole) { "attempt=$attempt position=$position tokens=$deliveredTokens" }
        return StreamAction.Finish
    }

    private fun handleChunk(chunk: StreamChunk, data: String): StreamAction {
        val start = chunk.offset ?: position
        val end = start + chunk.tokenCount
        return when {
            chunk.isError -> failAttempt("the target reported an error within the stream")

            choiceCount > 1 -> deliverUnchecked(chunk, data)

            start > deliveredTokens -> failAttempt("the stream lacks the tokens $deliveredTokens to ${start - 1}")

            finishReasonDelivered && end > deliveredTokens -> failAttempt(
                "the stream continues after its finish_reason",
            )

            chunk.finishReason != null && end < deliveredTokens -> failAttempt(
                "the stream ends before the delivered text does",
            )

            else -> deliver(chunk, start, data)
        }
    }

    private fun deliverUnchecked(chunk: StreamChunk, data: String): StreamAction {
        onlyPlainText = false
        anyDelivered = true
        if (chunk.finishReason != null) endedChoices += chunk.choiceIndex
        finishReasonDelivered = endedChoices.size >= choiceCount
        return StreamAction.Deliver(data)
    }

    private fun deliver(chunk: StreamChunk, start: Int, data: String): StreamAction {
        val newText = undeliveredText(chunk, start)
            ?: return failAttempt("the resumed stream differs from the delivered text")
        position = start + chunk.tokenCount
        if (newText.isEmpty() && !hasNewInformation(chunk)) return StreamAction.Drop
        onlyPlainText = onlyPlainText && chunk.isPlainText
        delivered.append(newText)
        deliveredTokens = maxOf(deliveredTokens, position)
        boundaries[deliveredTokens] = delivered.length
        anyDelivered = true
        finishReasonDelivered = finishReasonDelivered || chunk.finishReason != null
        usageDelivered = usageDelivered || chunk.hasUsage
        streamId = streamId ?: chunk.id
        return StreamAction.Deliver(if (resumed) chunk.withIdAndText(streamId, newText) else data)
    }

    /** Whether a chunk without new text must be delivered. The first chunk of a resumed stream is a repetition. */
    private fun hasNewInformation(chunk: StreamChunk): Boolean = when {
        chunk.finishReason != null -> !finishReasonDelivered
        chunk.hasUsage -> !usageDelivered
        else -> !resumed && chunk.text.isEmpty()
    }

    /**
     * Returns the part of the chunk's text not yet delivered, or null when the chunk contradicts the delivered text.
     */
    private fun undeliveredText(chunk: StreamChunk, start: Int): String? {
        if (start == deliveredTokens) return chunk.text
        // Token boundaries within a delivered chunk are unknown; a chunk that ends within delivered text is dropped.
        val from = boundaries[start] ?: return "".takeIf { start + chunk.tokenCount <= deliveredTokens }
        val deliveredPart = delivered.substring(from)
        return when {
            chunk.text.startsWith(deliveredPart) -> chunk.text.substring(deliveredPart.length)
            deliveredPart.startsWith(chunk.text) -> ""
            else -> null
        }
    }

    private fun failAttempt(reason: String): StreamAction {
        attemptFailed = true
        return StreamAction.Fail(Failure.TargetFailed(reason, RunOutcome.RUN))
    }

    /** Names of the request fields by which engines resume a stream. */
    public companion object {
        /** Number of tokens already delivered to the caller. */
        public const val RESUME_OFFSET_FIELD: String = "resume_offset"

        /** Text already delivered to the caller. */
        public const val RESUME_TEXT_FIELD: String = "resume_text"

        private const val TERMINAL_DATA = "[DONE]"
    }
}
