package dev.bergamotwind.node

import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.RequestId
import java.util.concurrent.ConcurrentHashMap

/** Requests that this node is working on, so that they can be counted, and cancelled when their key is revoked. */
internal class ActiveExchanges {
    /** One request with the key it came with and how to cancel it. */
    internal class Exchange(val request: RequestId, val key: KeyDigest?, val cancel: (String) -> Unit)

    private val exchanges = ConcurrentHashMap<RequestId, Exchange>()

    /** Number of requests. */
    val size: Int get() = exchanges.size

    /** Adds [exchange]. */
    fun add(exchange: Exchange) {
        exchanges[exchange.request] = exchange
    }

    /** Removes the exchange of [request]. */
    fun remove(request: RequestId) {
        exchanges.remove(request)
    }

    /** Cancels every request whose key does not satisfy [isValid]; returns how many. */
    fun cancelKeys(reason: String, isValid: (KeyDigest) -> Boolean): Int {
        val revoked = exchanges.values.filter { it.key != null && !isValid(it.key) }
        revoked.forEach { it.cancel(reason) }
        return revoked.size
    }
}
