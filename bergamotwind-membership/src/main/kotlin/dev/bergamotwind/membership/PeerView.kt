package dev.bergamotwind.membership

import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.VmId

/** Immutable snapshot of all peers and of the other failure domains, as of [takenNanos] on the monotonic clock. */
public data class PeerView(
    val takenNanos: Long,
    val peers: List<PeerStatus> = emptyList(),
    val domains: List<DomainSummary> = emptyList(),
) {
    /** Returns the peer [id], or null when there was never contact. */
    public fun peer(id: VmId): PeerStatus? = peers.firstOrNull { it.id == id }

    /**
     * Returns the latest time up to which a node that has applied [revision] has all accepted changes according to
     * its peers, or null. Peers that are ahead say nothing about this node.
     */
    public fun freshness(revision: Revision): Long? =
        peers.filter { it.revision <= revision }.mapNotNull { it.freshnessNanos }.maxOrNull()
}
