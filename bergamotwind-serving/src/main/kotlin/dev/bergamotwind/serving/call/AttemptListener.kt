package dev.bergamotwind.serving.call

/** Receives what becomes of an attempt. Exactly one of the last three ends it. */
public interface AttemptListener {
    /** The head of the answer has arrived. */
    public fun head(head: ResponseHead)

    /** The next bytes of the body have arrived. */
    public fun bytes(bytes: ByteArray)

    /** The answer is complete by its own framing. */
    public fun complete()

    /** No byte of the request has left. */
    public fun notSent(reason: String)

    /** The request was sent, at least in part, and its answer is missing or incomplete. */
    public fun broken(reason: String)
}
