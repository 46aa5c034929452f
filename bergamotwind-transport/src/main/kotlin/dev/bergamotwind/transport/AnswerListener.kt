package dev.bergamotwind.transport

import dev.bergamotwind.api.Header
/** Receives what becomes of an outgoing request, on the event loop. Exactly one of the last three ends it. */
public interface AnswerListener {
    /** The head of the answer has arrived. */
    public fun head(status: Int, headers: List<Header>)

    /** The next bytes of the body have arrived. */
    public fun bytes(bytes: ByteArray)

    /** The answer is complete by its own framing. */
    public fun complete()

    /** No byte of the request has left: there was no connection. */
    public fun notSent(reason: String)

    /** The request was sent, at least in part, and its answer is missing or incomplete. */
    public fun broken(reason: String)
}
