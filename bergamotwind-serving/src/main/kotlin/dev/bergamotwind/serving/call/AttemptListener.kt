package dev.bergamotwind.serving.call

/**
 * Receives the response of an attempt. Exactly one of [onComplete], [onNotSent] and [onInterrupted] ends the attempt.
 */
public interface AttemptListener {
    /** The status and headers of the response have arrived. */
    public fun onHead(head: ResponseHead)

    /** The next bytes of the response body have arrived. */
    public fun onBody(bytes: ByteArray)

    /** The response is complete according to its framing. */
    public fun onComplete()

    /** The attempt failed before any byte of the request was sent. */
    public fun onNotSent(reason: String)

    /** The request was sent at least in part, and its response is missing or incomplete. */
    public fun onInterrupted(reason: String)
}
