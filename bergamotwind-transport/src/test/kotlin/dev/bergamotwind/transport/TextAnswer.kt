package dev.bergamotwind.transport

import dev.bergamotwind.api.Header
import java.util.concurrent.CompletableFuture

/** Collects an answer as text; [end] is its status and body, [BROKEN] or [NOT_SENT]. */
class TextAnswer : AnswerListener {
    val end = CompletableFuture<String>()
    private var status = 0
    private val body = StringBuilder()

    override fun head(status: Int, headers: List<Header>) {
        this.status = status
    }

    override fun bytes(bytes: ByteArray) {
        body.append(bytes.decodeToString())
    }

    override fun complete() {
        end.complete("$status $body")
    }

    override fun notSent(reason: String) {
        end.complete(NOT_SENT)
    }

    override fun broken(reason: String) {
        end.complete(BROKEN)
    }

    companion object {
        const val BROKEN = "broken"
        const val NOT_SENT = "not sent"
    }
}
