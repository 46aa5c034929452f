package dev.bergamotwind.serving.call

import dev.bergamotwind.api.Header
import dev.bergamotwind.api.RequestId

/** A caller's request, decoded by the listener that received it. */
public data class Call(
    /** Request id, or null when the caller sent none. */
    public val id: RequestId?,
    /** Method, forwarded unchanged. */
    public val method: String,
    /** Host that the caller addressed. */
    public val host: String,
    /** Path and query, forwarded unchanged. */
    public val path: String,
    /** Headers to forward. */
    public val headers: List<Header>,
    /** Body to forward. */
    public val body: ByteArray,
    /** The caller's API key, or null. */
    public val key: String?,
    /** Milliseconds that the caller waits for the response, or null. */
    public val deadlineMillis: Long?,
    /** Id of the last event that the caller received in an earlier response to the same request, or null. */
    public val lastEventId: Long?,
    /** The request to a model, or null for a plain service. */
    public val modelRequest: ModelRequest?,
) {
    /** Path without the query. */
    public val pathOnly: String get() = path.substringBefore('?')
}
