package dev.bergamotwind.membership

import dev.bergamotwind.api.Revision

/** Fetches configuration changes from peers that are ahead, from one peer at a time, and serves those behind. */
internal class ChangesExchange(
    private val settings: MembershipSettings,
    private val configuration: ConfigurationExchange,
) {
    private var askedNanos: Long? = null

    /** Returns the request to a peer at [revision], or null when there is nothing to ask or an answer is due. */
    fun request(revision: Revision, nowNanos: Long): LinkMessage? {
        val applied = configuration.appliedRevision()
        val asked = askedNanos
        val waiting = asked != null && nowNanos - asked < settings.silenceLimit.inWholeNanoseconds
        if (revision <= applied || waiting) return null
        askedNanos = nowNanos
        return LinkMessage(changesRequest = ChangesRequest(applied.value, CHANGES_BYTES))
    }

    fun answer(request: ChangesRequest): LinkMessage {
        val maximum = request.maximumBytes.coerceIn(0, CHANGES_BYTES)
        return LinkMessage(
            changesResponse = ChangesResponse(configuration.changesAfter(Revision(request.revision), maximum)),
        )
    }

    fun take(response: ChangesResponse) {
        askedNanos = null
        if (response.changes.isNotEmpty()) configuration.receive(response.changes)
    }
}
