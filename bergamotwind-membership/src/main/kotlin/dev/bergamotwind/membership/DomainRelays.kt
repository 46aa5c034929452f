package dev.bergamotwind.membership

/**
 * Nodes of one failure domain exchange details directly. For each pair of failure domains, [relaysPerSide] nodes on
 * each side, chosen by rendezvous hashing for this pair, exchange summaries and pass them on inside their domain. The
 * choice per pair spreads the links over all nodes of a domain.
 */
public class DomainRelays(private val relaysPerSide: Int = DEFAULT_RELAYS) : Topology {
    override fun neighbours(self: PeerAddress, peers: List<PeerAddress>): List<PeerAddress> {
        val domains = (peers + self).distinctBy { it.address }.groupBy { it.failureDomain }
        return domains.flatMap { (domain, nodes) ->
            if (domain == self.failureDomain) {
                nodes.filter { it.address != self.address }
            } else {
                val ownRelays = selectRelays(self, domains.getValue(self.failureDomain), nodes.first())
                val ownRank = ownRelays.indexOf(self.address)
                val remoteRelays = selectRelays(nodes.first(), nodes, self)
                // Relays of both sides are paired by rank; on the smaller side, a relay is paired with several.
                if (ownRank < 0) {
                    emptyList()
                } else {
                    val partners = remoteRelays.filterIndexed { rank, _ ->
                        rank % ownRelays.size == ownRank || ownRank % remoteRelays.size == rank
                    }
                    nodes.filter { it.address in partners }
                }
            }
        }
    }

    override fun exchangesDetails(self: PeerAddress, peer: PeerAddress): Boolean =
        self.failureDomain == peer.failureDomain

    private fun selectRelays(
        member: PeerAddress,
        members: List<PeerAddress>,
        otherDomainNode: PeerAddress,
    ): List<String> {
        val pair = listOf(member.failureDomain.value, otherDomainNode.failureDomain.value).sorted().joinToString("/")
        return RendezvousHashing.owners(pair, members.map { it.address }, relaysPerSide)
    }
}
