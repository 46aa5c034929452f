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
 * Assembles one model stream from one or more attempts so that the caller gets each token once. A resumed attempt
 * starts at the token after the last delivered one, unless its chunks say otherwise by `offset`. For one thread at a
 * time. Source: design page, section 4.5.
 */
public class StreamAssembler(private val requestBody: String, private val monitor: InvariantMonitor) {
    private val body = StreamChunk.objectOf(requestBody)

    // With several choices, tokens of different answers alternate, so only their ends are checked.
    private val choiceCount = (body?.get("n") as? JsonPrimitive)?.intOrNull ?: 1
    private val endedChoices = mutableSetOf<Int>()
    private val delivered = StringBuilder()

    /** Length of the delivered text at each token index where a chunk began or ended. */
    private val boundaries = TreeMap<Int, Int>().apply { put(0, 0) }
    private var attempt: AttemptId? = null
    private var streamId: String? = null
    private var position = 0
    private var resumed = false
    private var plainText = true
    private var anySent = false
    private var finishSent = false
    private var usageSent = false
    private var finished = false
    private var broken = false

    /** Tokens that the caller has. */
    public var deliveredTokens: Int = 0
        private set

    /** Text that the caller has. */
    public val deliveredText: String get() = delivered.toString()

    /** Whether the caller has the whole answer with its terminal event. */
    public val isWhole: Boolean get() = finished

    /** From now on only events of [next] count. */
    public fun begin(next: AttemptId) {
        resumed = anySent
        attempt = next
        position = deliveredTokens
        broken = false
    }

    /** Takes in the data of one event that [from] received. */
    public fun accept(from: AttemptId, data: String): StreamStep = when {
        from != attempt || finished || broken -> StreamStep.Drop
        data.trim() == TERMINAL_DATA -> terminal()
        else -> StreamChunk.parse(data)?.let { chunk(it, data) } ?: broken("the target sent an event that is no JSON")
    }

    /** The connection of [from] has ended. */
    public fun ended(from: AttemptId): StreamStep = if (from != attempt || finished ||
        broken
    ) {
        StreamStep.Drop
    } else {
        broken("the stream ended before its terminal event")
    }

    /** Body of the request that resumes the stream at another target, or null when it cannot be resumed. */
    public fun resumeBody(): String? {
        if (!anySent) return requestBody
        if (!plainText || finished || body == null) return null
        val resume = mapOf<String, JsonElement>(
            RESUME_OFFSET_FIELD to JsonPrimitive(deliveredTokens),
            RESUME_TEXT_FIELD to JsonPrimitive(deliveredText),
        )
        return JsonObject(body + resume).toString()
    }

    private fun terminal(): StreamStep {
        if (!finishSent) return broken("the stream has a terminal event but no finish_reason")
        finished = true
        val whole = position == deliveredTokens
        monitor.check(Invariant.WHOLE_ANSWER, whole) { "attempt=$attempt position=$position tokens=$deliveredTokens" }
        return StreamStep.Finish
    }

    private fun chunk(chunk: StreamChunk, data: String): StreamStep {
        val start = chunk.offset ?: position
        val end = start + chunk.tokens
        return when {
            chunk.isError -> broken("the target reported an error within the stream")

            choiceCount > 1 -> passOn(chunk, data)

            start > deliveredTokens -> broken("the stream lacks the tokens $deliveredTokens to ${start - 1}")

            finishSent && end > deliveredTokens -> broken("the stream continues after its finish_reason")

            chunk.finishReason != null && end < deliveredTokens -> broken(
                "the stream ends before the delivered text does",
            )

            else -> deliver(chunk, start, data)
        }
    }

    private fun passOn(chunk: StreamChunk, data: String): StreamStep {
        plainText = false
        anySent = true
        if (chunk.finishReason != null) endedChoices += chunk.choiceIndex
        finishSent = endedChoices.size >= choiceCount
        return StreamStep.Deliver(data)
    }

    private fun deliver(chunk: StreamChunk, start: Int, data: String): StreamStep {
        val rest = restOf(chunk, start) ?: return broken("the resumed stream differs from the delivered text")
        position = start + chunk.tokens
        if (rest.isEmpty() && !hasNews(chunk)) return StreamStep.Drop
        plainText = plainText && chunk.isPlainText
        delivered.append(rest)
        deliveredTokens = maxOf(deliveredTokens, position)
        boundaries[deliveredTokens] = delivered.length
        anySent = true
        finishSent = finishSent || chunk.finishReason != null
        usageSent = usageSent || chunk.hasUsage
        streamId = streamId ?: chunk.id
        return StreamStep.Deliver(if (resumed) chunk.rewritten(streamId, rest) else data)
    }

    /** Whether a chunk without new text tells the caller something; a resumed stream repeats its opening chunk. */
    private fun hasNews(chunk: StreamChunk): Boolean = when {
        chunk.finishReason != null -> !finishSent
        chunk.hasUsage -> !usageSent
        else -> !resumed && chunk.text.isEmpty()
    }

    /** Returns the part of the chunk's text that the caller lacks, or null when the chunk does not fit what it has. */
    private fun restOf(chunk: StreamChunk, start: Int): String? {
        if (start == deliveredTokens) return chunk.text
        // Within one chunk of an earlier attempt, the text of single tokens is not known; what ends there is dropped.
        val from = boundaries[start] ?: return "".takeIf { start + chunk.tokens <= deliveredTokens }
        val known = delivered.substring(from)
        return when {
            chunk.text.startsWith(known) -> chunk.text.substring(known.length)
            known.startsWith(chunk.text) -> ""
            else -> null
        }
    }

    private fun broken(reason: String): StreamStep {
        broken = true
        return StreamStep.Broken(Failure.TargetFailed(reason, RunOutcome.RUN))
    }

    /** Names of the fields that engines understand in a request to resume. */
    public companion object {
        /** Number of tokens that the caller has. */
        public const val RESUME_OFFSET_FIELD: String = "resume_offset"

        /** Text that the caller has. */
        public const val RESUME_TEXT_FIELD: String = "resume_text"

        private const val TERMINAL_DATA = "[DONE]"
    }
}
