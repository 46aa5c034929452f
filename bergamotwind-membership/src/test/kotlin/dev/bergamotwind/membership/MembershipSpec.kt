package dev.bergamotwind.membership

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.TargetId
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against views that miss published state, overestimate freshness, or keep a lost peer as connected. */
class MembershipSpec {
    private val nodes = mutableListOf<TestNode>()
    private val demand = TokenDemand(ModelId("m"), null, 12)

    private fun start(vararg newNodes: TestNode): List<TestNode> = newNodes.toList().also {
        nodes += it
        startAndConnect(it)
    }

    @AfterEach
    fun close() = nodes.forEach { it.close() }

    private fun report(name: String, queued: Int = 2) = TargetDigest(
        TargetId(name),
        System.nanoTime(),
        running = 1,
        queued = queued,
        loaded = listOf(Artifact(ModelId("m"), "1")),
        warmPrefixes = listOf("p"),
    )

    @Test
    fun `peers receive the newest digest, and withdrawn items disappear`() {
        val (first, second, third) = start(TestNode(1), TestNode(2), TestNode(3))
        first.membership.publish(
            LocalDigest(Revision(4), null, false, listOf(demand), listOf(report("a"), report("b"))),
        )
        for (other in listOf(second, third)) {
            eventually("the digest") { other.connectedStatus(first)?.reports?.size == 2 }
            val status = other.connectedStatus(first)!!
            assertEquals(listOf(Revision(4), listOf(demand)), listOf(status.revision, status.demand))
            val digest = status.reports.first { it.target == TargetId("a") }
            assertEquals(report("a").copy(observedNanos = 0), digest.copy(observedNanos = 0))
        }
        first.membership.publish(LocalDigest(Revision(5), null, true, emptyList(), listOf(report("b", queued = 9))))
        eventually("the second digest") { second.connectedStatus(first)?.draining == true }
        eventually("the withdrawal") { second.connectedStatus(first)?.reports?.map { it.queued } == listOf(9) }
        assertTrue(second.connectedStatus(first)!!.demand.isEmpty())
    }

    @Test
    fun `freshness is never newer than the peer's knowledge, also over a slow link`() {
        val (first, second) = start(TestNode(1), TestNode(2))
        val knownNanos = System.nanoTime() - 1.seconds.inWholeNanoseconds
        first.membership.publish(LocalDigest(Revision(4), knownNanos))
        second.membership.publish(LocalDigest(Revision(4), knownNanos))
        for ((reader, peer) in listOf(first to second, second to first)) {
            eventually("freshness") { reader.connectedStatus(peer)?.freshnessNanos != null }
            // Both nodes use the same clock, so the times can be compared; ages are sent in milliseconds.
            assertTrue(
                reader.connectedStatus(peer)!!.freshnessNanos!! <= knownNanos + 1.milliseconds.inWholeNanoseconds,
            )
            assertTrue(reader.connectedStatus(peer)!!.freshnessAge(System.nanoTime())!! < 3.seconds)
            assertNull(reader.membership.view().freshnessNanos(Revision(3)))
        }
    }

    @Test
    fun `a node that is behind fetches the missing changes`() {
        val ahead = InMemoryChanges(List(40) { "change-$it " + "x".repeat(500) })
        val behind = InMemoryChanges(emptyList())
        val (first, _) = start(TestNode(1, configuration = ahead), TestNode(2, configuration = behind))
        first.membership.publish(LocalDigest(ahead.appliedRevision()))
        eventually("all changes") { behind.changes == ahead.changes }
    }

    @Test
    fun `a partition is detected and heals`() {
        val (first, second, third) = start(TestNode(1), TestNode(2), TestNode(3))
        val all = listOf(first, second, third)
        fun allConnected() = all.all { node -> all.all { it === node || node.connectedStatus(it) != null } }
        eventually("contact") { allConnected() }
        all.forEach { it.proxy.refused = true }
        eventually("loss") { all.all { node -> all.none { node.connectedStatus(it) != null } } }
        assertEquals(2, first.membership.view().peers.size)
        first.membership.publish(LocalDigest(Revision(8), null, false, emptyList(), listOf(report("a"))))
        all.forEach { it.proxy.refused = false }
        eventually("contact after healing") { allConnected() }
        eventually("the digest published during the partition") { third.connectedStatus(first)?.reports?.size == 1 }
    }

    @Test
    fun `a frozen peer is disconnected and reconnects`() {
        val (first, second) = start(TestNode(1), TestNode(2))
        eventually("contact") { first.connectedStatus(second) != null && second.connectedStatus(first) != null }
        listOf(first, second).forEach { it.proxy.stalled = true }
        eventually("both disconnect", 4.seconds) {
            first.connectedStatus(second) == null &&
                second.connectedStatus(first) == null
        }
        listOf(first, second).forEach { it.proxy.stalled = false }
        eventually("contact again") { first.connectedStatus(second) != null && second.connectedStatus(first) != null }
    }

    @Test
    fun `a peer without known peers is dialled by those that know it, and only once`() {
        val (first, second) = listOf(TestNode(1), TestNode(2)).onEach { nodes += it.start() }
        val (lower, higher) = listOf(first, second).sortedBy { it.identity.address }
        higher.membership.updatePeers(listOf(lower.identity.peerAddress))
        eventually("contact") { lower.connectedStatus(higher) != null }
        lower.membership.updatePeers(listOf(higher.identity.peerAddress))
        eventually("the lower address has dialled") { higher.events.count { "link.opened" in it } == 2 }
        Thread.sleep(1_000)
        assertTrue(higher.events.size <= 4, "links flap: ${higher.events}")
        assertEquals(1, higher.membership.view().peers.count { it.connected })
    }

    @Test
    fun `summaries reach every node of the other failure domain`() {
        val topology = DomainRelays(relaysPerSide = 1)
        val all = List(8) { TestNode(it, domain = if (it < 4) "west" else "east", topology = topology) }
        start(*all.toTypedArray())
        all.forEach {
            it.membership.publish(
                LocalDigest(Revision(3), null, false, listOf(demand), listOf(report("t-${it.identity.id}"))),
            )
        }
        fun summary(node: TestNode) = node.membership.view().domains.singleOrNull()
        eventually("summaries: ${all.map { summary(it) }}") {
            all.all { summary(it)?.models?.singleOrNull() == ModelLoad(ModelId("m"), 4, 4, 8) }
        }
        assertEquals(
            listOf(4, Revision(3), listOf(demand.copy(tokensPerSecond = 48))),
            summary(all[0])!!.run {
                listOf(nodeCount, lowestRevision, this.demand)
            },
        )
        val domains = all.map { node -> summary(node)!!.failureDomain }
        assertEquals(List(8) { FailureDomainId(if (it < 4) "east" else "west") }, domains)
        assertEquals(
            2,
            all.count { node ->
                node.membership.view().peers.any {
                    it.failureDomain !=
                        node.identity.failureDomain
                }
            },
        )
    }

    @Test
    fun `a node sends no more than its budget, also when all others send requests`() {
        val limit = 2_000
        val all = List(10) { TestNode(it, bytesPerSecond = limit, digestInterval = 100.milliseconds) }
        start(*all.toTypedArray())
        eventually("contact") { all.all { it.membership.view().peers.size == 9 } }
        val startNanos = System.nanoTime()
        val before = all.map { it.membership.traffic() }
        Thread.sleep(4_000)
        val after = all.map { it.membership.traffic() }
        // On a busy machine more time than the sleep passes between the two readings.
        val seconds = (System.nanoTime() - startNanos) / 1e9
        all.indices.forEach { index ->
            val (node, start, now) = Triple(all[index], before[index], after[index])
            val bytes = now.sentBytes - start.sentBytes + (now.sentFrames - start.sentFrames) * TCP_IP_HEADER_BYTES
            // The token bucket holds the bytes of one second.
            assertTrue(bytes <= limit * (seconds + 1), "$bytes bytes in $seconds s")
            assertTrue(node.membership.view().peers.all { it.connected })
        }
    }

    private class InMemoryChanges(initial: List<String>) : ConfigurationExchange {
        @Volatile
        var changes = initial

        override fun appliedRevision() = Revision(changes.size.toLong())

        override fun changesAfter(revision: Revision, maximumBytes: Int): List<String> {
            var bytes = 0
            return changes.drop(revision.value.toInt()).takeWhile {
                (bytes <= maximumBytes).also { _ ->
                    bytes +=
                        it.length
                }
            }
        }

        override fun receiveChanges(changes: List<String>) {
            val missing = changes.filter { it !in this.changes }
            this.changes += missing
        }
    }
}
