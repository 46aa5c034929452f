package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against unlinked failure domains, links known to one end only, and nodes that hold most of the links. */
class TopologySpec {
    // The planned fleet size: 410 nodes in 18 failure domains.
    private val nodes = List(410) { PeerAddress("10.0.${it / 250}.${it % 250}:7000", FailureDomainId("d${it % 18}")) }
    private val topology = DomainRelays()
    private val links = nodes.associateWith { topology.neighbours(it, nodes) }

    @Test
    fun `both ends agree, every pair of domains has two links, and no node has many links`() {
        for ((node, neighbours) in links) neighbours.forEach { assertTrue(node in links.getValue(it)) }
        val linksPerDomainPair = links
            .flatMap { (node, neighbours) -> neighbours.map { node.failureDomain to it.failureDomain } }
            .filter { it.first != it.second }.groupingBy { it }.eachCount()
        assertEquals(18 * 17, linksPerDomainPair.size)
        assertTrue(linksPerDomainPair.values.all { it == DEFAULT_RELAYS })
        assertTrue(links.values.maxOf { it.size } <= 22 + 7, "${links.values.maxOf { it.size }} links")
    }

    @Test
    fun `a domain with one node is linked too`() {
        val singleNode = PeerAddress("10.1.0.1:7000", FailureDomainId("alone"))
        val all = nodes + singleNode
        val neighbours = topology.neighbours(singleNode, all)
        assertEquals(18, neighbours.map { it.failureDomain }.distinct().size)
        neighbours.forEach { assertTrue(singleNode in topology.neighbours(it, all)) }
    }

    @Test
    fun `the loss of a candidate moves only its own keys`() {
        val candidates = nodes.map { it.address }
        val before = (1..200).associateWith { RendezvousHashing.owners("target-$it", candidates, 2) }
        val lost = before.getValue(1).first()
        for ((key, owners) in before) {
            val after = RendezvousHashing.owners("target-$key", candidates - lost, 2)
            assertEquals(owners - lost, after.filter { it in owners })
        }
    }
}
