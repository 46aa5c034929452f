package dev.bergamotwind.transport

import dev.bergamotwind.api.Header

/** A request to be sent. */
public class OutgoingRequest(
    /** Method to send. */
    public val method: String,
    /** Path and query to send, unchanged. */
    public val path: String,
    /** Headers to send, without those that describe the framing of the body. */
    public val headers: List<Header>,
    /** Body to send. */
    public val body: ByteArray = ByteArray(0),
    /** Milliseconds that a new connection may take. */
    public val connectTimeoutMillis: Int,
    /** Longest time in milliseconds that a kept connection may have been idle to be used for this request. */
    public val reuseIdleMillis: Long,
    /**
     * Asked right before the first byte leaves. A connection may take long to open, or the process may be suspended
     * meanwhile, so that what permitted the request has ended; then it counts as not sent.
     */
    public val mayLeave: () -> Boolean = { true },
    /**
     * True when the connection is reset if it ends before the answer is complete, also by the end of this process. The
     * kernel then drops the bytes that it has not delivered yet, instead of sending them again until a cut has healed.
     */
    public val resetsIfUnanswered: Boolean = false,
    /**
     * The one of [headers] that the answer repeats, by which it is told from a second answer to another request; null
     * when the target repeats none.
     */
    public val echoedHeader: Header? = null,
)
