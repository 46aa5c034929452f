package dev.bergamotwind.membership

/** Every node exchanges details with every other node; for deployments of a few nodes. */
public object FullMesh : Topology {
    override fun neighbours(self: PeerAddress, peers: List<PeerAddress>): List<PeerAddress> =
        peers.filter { it.address != self.address }

    override fun exchangesDetails(self: PeerAddress, peer: PeerAddress): Boolean = true
}
