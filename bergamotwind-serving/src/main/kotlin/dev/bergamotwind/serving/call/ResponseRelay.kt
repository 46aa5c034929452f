package dev.bergamotwind.serving.call

import dev.bergamotwind.api.CallerExchange
import java.io.ByteArrayOutputStream

/**
 * Relays the answer to one call. A plain answer is held until it is whole, so that it can still be replaced; a stream
 * is relayed event by event and can go on with the events of another attempt. Used on the serving loop.
 */
internal class ResponseRelay(private val exchange: CallerExchange, private val closeAfter: () -> Boolean) {
    private var head: ResponseHead? = null
    private val body = ByteArrayOutputStream()
    private var splitter = EventSplitter()
    private var streamed = false

    /** True once a part of the answer has been sent to the caller. */
    var isStarted = false
        private set

    /** Whole events of a stream that have arrived, those that the caller already had included. */
    var events = 0
        private set

    /** Id of the last event sent, or null. */
    var lastEventId: Long? = null
        private set

    /** An attempt's answer begins. */
    fun begin(newHead: ResponseHead, isStream: Boolean) {
        if (!isStarted) head = newHead
        streamed = isStream
        splitter = EventSplitter()
        body.reset()
    }

    /** Relays [bytes]; false when they cannot be an answer. */
    fun bytes(bytes: ByteArray): Boolean {
        if (!streamed) {
            body.write(bytes)
            return body.size() <= PLAIN_ANSWER_LIMIT_BYTES
        }
        val events = splitter.read(bytes) ?: return false
        this.events += events.size
        for (event in events) {
            val last = lastEventId
            // A resumed stream may repeat what the caller already has.
            if (event.id != null && last != null && event.id <= last) continue
            if (event.id != null) lastEventId = event.id
            start()
            exchange.write(event.bytes)
        }
        return true
    }

    /** The attempt's answer is complete; false when a stream ends within an event. */
    fun complete(): Boolean {
        val answer = head ?: return false
        if (!streamed) {
            exchange.answer(answer.status, answer.headers, body.toByteArray(), closeAfter())
            return true
        }
        if (splitter.hasPartialEvent) return false
        start()
        exchange.finish()
        return true
    }

    private fun start() {
        val answer = head
        if (isStarted || answer == null) return
        isStarted = true
        exchange.start(answer.status, answer.headers, closeAfter())
    }
}
