package dev.bergamotwind.membership

import dev.bergamotwind.api.Revision

/** Fetches configuration changes from peers that are ahead, one peer at a time, and serves peers that are behind. */
internal class ConfigurationSync(
    private val settings: MembershipSettings,
    private val configuration: ConfigurationExchange,
) {
    private var pendingRequestNanos: Long? = null

    /** Returns the request to a peer at [revision], or null if the peer is not ahead or a response is pending. */
    fun nextRequest(revision: Revision, nowNanos: Long): LinkMessage? {
        val applied = configuration.appliedRevision()
        val requestedNanos = pendingRequestNanos
        val isPending = requestedNanos != null && nowNanos - requestedNanos < settings.peerTimeout.inWholeNanoseconds
        if (revision <= applied || isPending) return null
        pendingRequestNanos = nowNanos
        return LinkMessage(changesRequest = ChangesRequest(applied.value, MAX_CHANGES_RESPONSE_BYTES))
    }

    fun respond(request: ChangesRequest): LinkMessage {
        val maximumBytes = request.maximumBytes.coerceIn(0, MAX_CHANGES_RESPONSE_BYTES)
        val changes = configuration.changesAfter(Revision(request.afterRevision), maximumBytes)
        return LinkMessage(changesResponse = ChangesResponse(changes))
    }

    fun handleResponse(response: ChangesResponse) {
        pendingRequestNanos = null
        if (response.changes.isNotEmpty()) configuration.receiveChanges(response.changes)
    }
}
