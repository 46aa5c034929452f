package dev.bergamotwind.node

import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.RequestId
import java.util.concurrent.ConcurrentHashMap

/** Registry of the requests in progress at this node. Counts them and cancels those whose key is revoked. */
internal class ActiveRequests {
    /** A request in progress, the digest of its API key and the function that cancels it. */
    internal class ActiveRequest(val id: RequestId, val key: KeyDigest?, val cancel: (String) -> Unit)

    private val requests = ConcurrentHashMap<RequestId, ActiveRequest>()

    /** Number of requests in progress. */
    val size: Int get() = requests.size

    /** Adds [request]. */
    fun add(request: ActiveRequest) {
        requests[request.id] = request
    }

    /** Removes the request with [id]. */
    fun remove(id: RequestId) {
        requests.remove(id)
    }

    /** Cancels every request whose key does not satisfy [isValid] and returns their number. */
    fun cancelRequestsWithInvalidKeys(reason: String, isValid: (KeyDigest) -> Boolean): Int {
        val revoked = requests.values.filter { it.key != null && !isValid(it.key) }
        revoked.forEach { it.cancel(reason) }
        return revoked.size
    }
}
