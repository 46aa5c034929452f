package dev.bergamotwind.transport

import dev.bergamotwind.api.Header
import io.netty.channel.Channel

/** A request from [HttpDialer.send] until its end. */
internal class ClientCall(val request: OutgoingRequest, private val listener: AnswerListener) : OutgoingCall {
    /** The channel while the connection is being made. */
    var connecting: Channel? = null

    /** The connection that carries the request. */
    var connection: ClientConnection? = null

    /** True once the listener has heard the end or the call was cancelled. */
    var ended = false
        private set

    override fun cancel() {
        if (ended) return
        ended = true
        connection?.close() ?: connecting?.close()
    }

    override fun pause(paused: Boolean) {
        if (!ended) connection?.pause(paused)
    }

    fun head(status: Int, headers: List<Header>): Unit = handle { it.head(status, headers) }

    fun bytes(bytes: ByteArray): Unit = handle { it.bytes(bytes) }

    fun complete(): Unit = end(AnswerListener::complete)

    fun notSent(reason: String): Unit = end { it.notSent(reason) }

    fun broken(reason: String): Unit = end { it.broken(reason) }

    private fun end(tell: (AnswerListener) -> Unit): Unit = handle {
        ended = true
        tell(it)
    }

    // An answer that cannot be handled is as good as a broken one: whoever waits for its end has to hear of one.
    @Suppress("TooGenericExceptionCaught")
    private fun handle(tell: (AnswerListener) -> Unit) {
        if (ended) return
        try {
            tell(listener)
        } catch (failure: Throwable) {
            Unexpected.log("the answer to ${request.method} ${request.path} was not handled", failure)
            ended = true
            connection?.close()
            listener.broken("the answer was not handled: $failure")
        }
    }
}
