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

/** Guards against views that lack what peers publish, count freshness from too late, or survive a lost peer. */
class MembershipSpec {
    private val nodes = mutableListOf<TestNode>()
    private val demand = Demand(ModelId("m"), null, 12)

    private fun start(vararg started: TestNode): List<TestNode> = started.toList().also {
        nodes += it
        connect(it)
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
    fun `peers see the newest digest, and what was withdrawn disappears`() {
        val (first, second, third) = start(TestNode(1), TestNode(2), TestNode(3))
        first.membership.publish(
            LocalDigest(Revision(4), null, false, listOf(demand), listOf(report("a"), report("b"))),
        )
        for (other in listOf(second, third)) {
            eventually("the digest") { other.sees(first)?.reports?.size == 2 }
            val status = other.sees(first)!!
            assertEquals(listOf(Revision(4), listOf(demand)), listOf(status.revision, status.demand))
            val digest = status.reports.first { it.target == TargetId("a") }
            assertEquals(report("a").copy(observedNanos = 0), digest.copy(observedNanos = 0))
        }
        first.membership.publish(LocalDigest(Revision(5), null, true, emptyList(), listOf(report("b", queued = 9))))
        eventually("the second digest") { second.sees(first)?.draining == true }
        eventually("the withdrawal") { second.sees(first)?.reports?.map { it.queued } == listOf(9) }
        assertTrue(second.sees(first)!!.demand.isEmpty())
    }

    @Test
    fun `freshness is never younger than the peer's knowledge, also over a slow link`() {
        val (first, second) = start(TestNode(1), TestNode(2))
        val known = System.nanoTime() - 1.seconds.inWholeNanoseconds
        first.membership.publish(LocalDigest(Revision(4), known))
        second.membership.publish(LocalDigest(Revision(4), known))
        for ((reader, peer) in listOf(first to second, second to first)) {
            eventually("freshness") { reader.sees(peer)?.freshnessNanos != null }
            // Both nodes share one clock here, so the times can be compared; ages are sent in milliseconds.
            assertTrue(reader.sees(peer)!!.freshnessNanos!! <= known + 1.milliseconds.inWholeNanoseconds)
            assertTrue(reader.sees(peer)!!.freshnessAge(System.nanoTime())!! < 3.seconds)
            assertNull(reader.membership.view().freshness(Revision(3)))
        }
    }

    @Test
    fun `a node that is behind fetches the changes that it lacks`() {
        val ahead = ListedChanges(List(40) { "change-$it " + "x".repeat(500) })
        val behind = ListedChanges(emptyList())
        val (first, _) = start(TestNode(1, configuration = ahead), TestNode(2, configuration = behind))
        first.membership.publish(LocalDigest(ahead.appliedRevision()))
        eventually("all changes") { behind.changes == ahead.changes }
    }

    @Test
    fun `a partition is noticed and heals`() {
        val (first, second, third) = start(TestNode(1), TestNode(2), TestNode(3))
        val all = listOf(first, second, third)
        fun met() = all.all { node -> all.all { it === node || node.sees(it) != null } }
        eventually("contact") { met() }
        all.forEach { it.gate.cut = true }
        eventually("loss") { all.all { node -> all.none { node.sees(it) != null } } }
        assertEquals(2, first.membership.view().peers.size)
        first.membership.publish(LocalDigest(Revision(8), null, false, emptyList(), listOf(report("a"))))
        all.forEach { it.gate.cut = false }
        eventually("contact after healing") { met() }
        eventually("what was missed") { third.sees(first)?.reports?.size == 1 }
    }

    @Test
    fun `a frozen peer is given up and comes back`() {
        val (first, second) = start(TestNode(1), TestNode(2))
        eventually("contact") { first.sees(second) != null && second.sees(first) != null }
        listOf(first, second).forEach { it.gate.frozen = true }
        eventually("both give up", 4.seconds) { first.sees(second) == null && second.sees(first) == null }
        listOf(first, second).forEach { it.gate.frozen = false }
        eventually("contact again") { first.sees(second) != null && second.sees(first) != null }
    }

    @Test
    fun `a peer that knows no one is dialled by those who know it, and once only`() {
        val (first, second) = listOf(TestNode(1), TestNode(2)).onEach { nodes += it.start() }
        val (lesser, greater) = listOf(first, second).sortedBy { it.identity.address }
        greater.membership.peers(listOf(lesser.identity.peerAddress))
        eventually("contact") { lesser.sees(greater) != null }
        lesser.membership.peers(listOf(greater.identity.peerAddress))
        eventually("the right side has dialled") { greater.events.count { "link.opened" in it } == 2 }
        Thread.sleep(1_000)
        assertTrue(greater.events.size <= 4, "links flap: ${greater.events}")
        assertEquals(1, greater.membership.view().peers.count { it.connected })
    }

    @Test
    fun `summaries reach every node of the other failure domain`() {
        val topology = DomainRelays(relays = 1)
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
                listOf(nodes, revision, this.demand)
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
    fun `a node sends no more than its budget, also when all others ask it`() {
        val limit = 2_000
        val all = List(10) { TestNode(it, bytesPerSecond = limit, interval = 100.milliseconds) }
        start(*all.toTypedArray())
        eventually("contact") { all.all { it.membership.view().peers.size == 9 } }
        val startNanos = System.nanoTime()
        val before = all.map { it.membership.traffic() }
        Thread.sleep(4_000)
        val after = all.map { it.membership.traffic() }
        // On a busy machine more than the slept time passes between the two readings.
        val seconds = (System.nanoTime() - startNanos) / 1e9
        all.indices.forEach { index ->
            val (node, start, now) = Triple(all[index], before[index], after[index])
            val bytes = now.sentBytes - start.sentBytes + (now.sentFrames - start.sentFrames) * HEADER_BYTES
            // The bucket holds one second's worth.
            assertTrue(bytes <= limit * (seconds + 1), "$bytes bytes in $seconds s")
            assertTrue(node.membership.view().peers.all { it.connected })
        }
    }

    private class ListedChanges(initial: List<String>) : ConfigurationExchange {
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

        override fun receive(changes: List<String>) {
            val next = changes.filter { it !in this.changes }
            this.changes += next
        }
    }
}
