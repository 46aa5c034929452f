package dev.bergamotwind.api

/** The answering side of one request. All members are used on the event loop. */
public interface CallerExchange {
    /** Called when the caller's connection ends before the answer does. */
    public var onGone: (() -> Unit)?

    /** Called when a caller that read too slowly has caught up. */
    public var onWritable: (() -> Unit)?

    /** False while more bytes are queued for the caller than it reads. */
    public val isWritable: Boolean

    /** Sends a whole answer; [close] ends the connection after it. */
    public fun answer(status: Int, headers: List<Header>, body: ByteArray, close: Boolean)

    /** Starts an answer of unknown length. */
    public fun start(status: Int, headers: List<Header>, close: Boolean)

    /** Sends the next bytes of a started answer. */
    public fun write(bytes: ByteArray)

    /** Ends a started answer as complete. */
    public fun finish()

    /** Ends the connection so that the answer does not look complete. */
    public fun abort()
}
