package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against failure domains without a link, one-sided links, and nodes that carry most of the links. */
class TopologySpec {
    // The target size: 410 nodes in 18 failure domains.
    private val nodes = List(410) { PeerAddress("10.0.${it / 250}.${it % 250}:7000", FailureDomainId("d${it % 18}")) }
    private val topology = DomainRelays()
    private val links = nodes.associateWith { topology.neighbours(it, nodes) }

    @Test
    fun `both ends agree, every pair of domains is linked twice, and no node has many links`() {
        for ((node, neighbours) in links) neighbours.forEach { assertTrue(node in links.getValue(it)) }
        val between = links.flatMap { (node, neighbours) -> neighbours.map { node.failureDomain to it.failureDomain } }
            .filter { it.first != it.second }.groupingBy { it }.eachCount()
        assertEquals(18 * 17, between.size)
        assertTrue(between.values.all { it == DEFAULT_RELAYS })
        assertTrue(links.values.maxOf { it.size } <= 22 + 7, "${links.values.maxOf { it.size }} links")
    }

    @Test
    fun `a domain with one node is linked too`() {
        val alone = PeerAddress("10.1.0.1:7000", FailureDomainId("alone"))
        val all = nodes + alone
        val neighbours = topology.neighbours(alone, all)
        assertEquals(18, neighbours.map { it.failureDomain }.distinct().size)
        neighbours.forEach { assertTrue(alone in topology.neighbours(it, all)) }
    }

    @Test
    fun `a lost candidate moves only what it owned`() {
        val candidates = nodes.map { it.address }
        val before = (1..200).associateWith { Rendezvous.owners("target-$it", candidates, 2) }
        val lost = before.getValue(1).first()
        for ((key, owners) in before) {
            val after = Rendezvous.owners("target-$key", candidates - lost, 2)
            assertEquals(owners - lost, after.filter { it in owners })
        }
    }
}
