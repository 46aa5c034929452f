package dev.bergamotwind.membership

import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.VmId

/** Immutable snapshot of all peers and of the other failure domains, as of [createdNanos] on the monotonic clock. */
public data class PeerView(
    val createdNanos: Long,
    val peers: List<PeerStatus> = emptyList(),
    val domains: List<DomainSummary> = emptyList(),
) {
    /** Returns the peer [id], or null if there was never contact. */
    public fun findPeer(id: VmId): PeerStatus? = peers.firstOrNull { it.id == id }

    /**
     * Returns the latest time up to which, according to the peers, a node that has applied [revision] has all accepted
     * changes, or null. Peers that are ahead of [revision] are not considered: what they have proves nothing about it.
     */
    public fun freshnessNanos(revision: Revision): Long? =
        peers.filter { it.revision <= revision }.mapNotNull { it.freshnessNanos }.maxOrNull()
}
