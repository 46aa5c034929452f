package dev.bergamotwind.membership

/** Decides which neighbours this node dials. */
internal class NeighbourDialler(
    private val settings: MembershipSettings,
    private val links: LinkManager,
    private val startedNanos: Long,
) {
    private var dialledAddresses = emptySet<String>()
    private var lastPeers: List<PeerAddress>? = null
    private var neighbourAddresses = emptyList<String>()

    /** Starts and stops dialling so that this node dials the neighbours that it has to, given [openLinks]. */
    fun update(peers: List<PeerAddress>, openLinks: Collection<Link>, nowNanos: Long) {
        val self = links.boundIdentity
        // Recomputed only when the peers change: rendezvous hashing hashes each peer for each pair of domains.
        if (peers !== lastPeers) {
            neighbourAddresses = settings.topology.neighbours(self.peerAddress, peers).map { it.address }
        }
        lastPeers = peers
        val inboundAddresses = openLinks.filter { !it.isOutbound }.mapTo(HashSet()) { it.peer.address }
        // The lower address of a pair dials. After the timeout the other side dials too if it has no inbound link,
        // because its peer may not know it yet.
        val awaitsInbound = nowNanos - startedNanos < settings.peerTimeout.inWholeNanoseconds
        val addressesToDial = neighbourAddresses.filterTo(HashSet()) {
            self.address < it || (!awaitsInbound && it !in inboundAddresses)
        }
        (addressesToDial - dialledAddresses).forEach(links::connect)
        (dialledAddresses - addressesToDial).forEach(links::disconnect)
        dialledAddresses = addressesToDial
    }
}
