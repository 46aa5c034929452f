package dev.bergamotwind.serving.call

import dev.bergamotwind.api.Header
import dev.bergamotwind.api.RequestId

/** A caller's request, decoded by the edge that received it. */
public data class Call(
    /** Id of this request; null when the caller sent none. */
    public val id: RequestId?,
    /** Method to forward unchanged. */
    public val method: String,
    /** Host that the caller addressed. */
    public val host: String,
    /** Path and query to forward unchanged. */
    public val path: String,
    /** Headers to forward. */
    public val headers: List<Header>,
    /** Body to forward. */
    public val body: ByteArray,
    /** The caller's key, or null. */
    public val key: String?,
    /** Milliseconds that the caller waits, or null. */
    public val deadlineMillis: Long?,
    /** The last event that the caller has of an earlier answer to the same question, or null. */
    public val lastEventId: Long?,
    /** What is asked of a model, or null for a plain service. */
    public val work: ModelRequest?,
) {
    /** Path without the query. */
    public val pathOnly: String get() = path.substringBefore('?')
}
