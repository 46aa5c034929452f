package dev.bergamotwind.serving.call

import dev.bergamotwind.api.CallerExchange
import dev.bergamotwind.core.AnswerBuffer

/**
 * Relays the response of one call to the caller. A plain response is buffered until it is complete, so that it can
 * still be replaced; a stream is relayed event by event and can continue with the events of another attempt. Used on
 * the serving loop.
 */
internal class ResponseRelay(private val exchange: CallerExchange, private val closeAfter: () -> Boolean) {
    private var head: ResponseHead? = null
    private var body = AnswerBuffer()
    private var splitter = EventSplitter()
    private var isStream = false

    /** True once a part of the response has been sent to the caller. */
    var isStarted = false
        private set

    /** Number of complete stream events received, including those that the caller already had. */
    var eventCount = 0
        private set

    /** Id of the last event sent to the caller, or null. */
    var lastEventId: Long? = null
        private set

    /** Bytes of memory that the response of the attempt takes here. */
    val keptBytes: Long get() = if (isStream) splitter.keptBytes else body.capacityBytes

    /** Begins the response of an attempt. */
    fun begin(newHead: ResponseHead, isStream: Boolean) {
        if (!isStarted) head = newHead
        this.isStream = isStream
        clear()
    }

    /** Drops what is kept of the response of an attempt. */
    fun clear() {
        splitter = EventSplitter()
        body = AnswerBuffer()
    }

    /** Buffers or relays [bytes] of the body; false when the body or an event exceeds its size limit. */
    fun append(bytes: ByteArray): Boolean {
        if (!isStream) {
            body.write(bytes)
            return body.size() <= PLAIN_RESPONSE_LIMIT_BYTES
        }
        val events = splitter.append(bytes) ?: return false
        eventCount += events.size
        for (event in events) {
            val last = lastEventId
            // A resumed stream may repeat events that the caller already has.
            if (event.id != null && last != null && event.id <= last) continue
            if (event.id != null) lastEventId = event.id
            start()
            exchange.write(event.bytes)
        }
        return true
    }

    /** Completes the response; false when a stream ends within an event, or before the first one. */
    fun complete(): Boolean {
        val current = head ?: return false
        if (!isStream) {
            exchange.answer(current.status, current.headers, body.toByteArray(), closeAfter())
            return true
        }
        if (splitter.hasPartialEvent || !isStarted) return false
        exchange.finish()
        return true
    }

    private fun start() {
        val current = head
        if (isStarted || current == null) return
        isStarted = true
        exchange.start(current.status, current.headers, closeAfter())
    }
}
