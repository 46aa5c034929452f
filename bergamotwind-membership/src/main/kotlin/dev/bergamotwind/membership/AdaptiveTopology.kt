package dev.bergamotwind.membership

/**
 * A full mesh while the fleet has at most [meshLimit] nodes, and relays between failure domains above that: a mesh of
 * 410 nodes would need many times the control traffic that a node may spend.
 */
public class AdaptiveTopology(
    private val meshLimit: Int = DEFAULT_MESH_LIMIT,
    private val relays: Topology = DomainRelays(),
) : Topology {
    @Volatile
    private var current: Topology = FullMesh

    override fun neighbours(self: PeerAddress, peers: List<PeerAddress>): List<PeerAddress> {
        current = if (peers.size <= meshLimit) FullMesh else relays
        return current.neighbours(self, peers)
    }

    override fun exchangesDetails(self: PeerAddress, peer: PeerAddress): Boolean = current.exchangesDetails(self, peer)
}
