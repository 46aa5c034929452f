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
    /**
     * Longest time in milliseconds that a kept connection may have been idle to be used for this request; 0 for a new
     * connection.
     */
    public val reuseIdleMillis: Long = 0,
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
     * The one of [headers] that the answer repeats, by which it is told from a second answer to another request. A
     * request without one is sent on a new connection, which ends with its answer.
     */
    public val echoedHeader: Header? = null,
) {
    // On a kept connection, only an answer that names its request can be told from one to an earlier request.
    internal val mayUseKeptConnection: Boolean get() = echoedHeader != null && reuseIdleMillis > 0
}
