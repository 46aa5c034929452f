package dev.bergamotwind.membership

/**
 * Uses a full mesh while the fleet has at most [maxMeshNodes] nodes, and relays between failure domains above that:
 * a mesh of 410 nodes would need many times the control traffic that a node may send.
 */
public class AdaptiveTopology(
    private val maxMeshNodes: Int = DEFAULT_MAX_MESH_NODES,
    private val relayTopology: Topology = DomainRelays(),
) : Topology {
    @Volatile
    private var activeTopology: Topology = FullMesh

    override fun neighbours(self: PeerAddress, peers: List<PeerAddress>): List<PeerAddress> {
        activeTopology = if (peers.size <= maxMeshNodes) FullMesh else relayTopology
        return activeTopology.neighbours(self, peers)
    }

    override fun exchangesDetails(self: PeerAddress, peer: PeerAddress): Boolean =
        activeTopology.exchangesDetails(self, peer)
}
