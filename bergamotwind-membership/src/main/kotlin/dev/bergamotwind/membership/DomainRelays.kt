package dev.bergamotwind.membership

/**
 * Nodes of one failure domain exchange details directly. For each pair of failure domains, [relays] nodes on each
 * side, chosen by rendezvous hashing for this pair, exchange summaries and pass them on inside their domain. The
 * choice per pair spreads the links over all nodes of a domain.
 */
public class DomainRelays(private val relays: Int = DEFAULT_RELAYS) : Topology {
    override fun neighbours(self: PeerAddress, peers: List<PeerAddress>): List<PeerAddress> {
        val domains = (peers + self).distinctBy { it.address }.groupBy { it.failureDomain }
        return domains.flatMap { (domain, nodes) ->
            if (domain == self.failureDomain) {
                nodes.filter { it.address != self.address }
            } else {
                val own = relaysOf(self, domains.getValue(self.failureDomain), nodes.first())
                val position = own.indexOf(self.address)
                val remote = relaysOf(nodes.first(), nodes, self)
                // The relays of both sides are paired by rank; a smaller side takes several.
                if (position < 0) {
                    emptyList()
                } else {
                    val partners = remote.filterIndexed { rank, _ ->
                        rank % own.size == position || position % remote.size == rank
                    }
                    nodes.filter { it.address in partners }
                }
            }
        }
    }

    override fun exchangesDetails(self: PeerAddress, peer: PeerAddress): Boolean =
        self.failureDomain == peer.failureDomain

    private fun relaysOf(member: PeerAddress, members: List<PeerAddress>, other: PeerAddress): List<String> {
        val pair = listOf(member.failureDomain.value, other.failureDomain.value).sorted().joinToString("/")
        return Rendezvous.owners(pair, members.map { it.address }, relays)
    }
}
