package dev.bergamotwind.membership

/** Decides which neighbours this node dials. */
internal class NeighbourDialler(
    private val settings: MembershipSettings,
    private val links: PeerLinks,
    private val startedNanos: Long,
) {
    private var dialled = emptySet<String>()
    private var knownPeers: List<PeerAddress>? = null
    private var neighbours = emptyList<String>()

    /** Dials the neighbours among [peers] that have to be dialled, given the [open] links. */
    fun update(peers: List<PeerAddress>, open: Collection<Link>, nowNanos: Long) {
        val self = links.boundIdentity
        // Rendezvous hashing over all peers hashes each peer of each pair of domains, too much for every tick.
        if (peers !== knownPeers) neighbours = settings.topology.neighbours(self.peerAddress, peers).map { it.address }
        knownPeers = peers
        val connected = open.filter { !it.dialled }.mapTo(HashSet()) { it.peer.address }
        // One side of a pair dials. The other one does so when it has waited in vain: its peer may not know it yet.
        val patient = nowNanos - startedNanos < settings.silenceLimit.inWholeNanoseconds
        val wanted = neighbours.filterTo(HashSet()) { self.address < it || (!patient && it !in connected) }
        (wanted - dialled).forEach(links::dial)
        (dialled - wanted).forEach(links::release)
        dialled = wanted
    }
}
