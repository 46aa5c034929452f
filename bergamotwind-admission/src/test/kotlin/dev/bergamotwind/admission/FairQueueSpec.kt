package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against a team that starves others, and against queue capacity lost to cancelled requests. */
class FairQueueSpec {
    private val queue = FairQueue<Int>(capacity = 400)

    @Test
    fun `serves backlogged teams tokens in proportion to their weights for any request size`() {
        val served = mutableMapOf("large" to 0L, "small" to 0L, "heavy" to 0L)
        repeat(40) { add("large", 100, 1) }
        repeat(100) { add("small", 10, 1) }
        repeat(100) { add("heavy", 20, 2) }
        repeat(130) { queue.poll()!!.let { served.merge(it.team!!.value, it.tokens, Long::plus) } }
        val share = served.getValue("small")
        assertTrue(served.getValue("large") in share - 100..share + 100) { "$served" }
        assertTrue(served.getValue("heavy") in 2 * share - 200..2 * share + 200) { "$served" }
    }

    @Test
    fun `gives an idle team no credit and a returning team no debt beyond its own`() {
        repeat(50) { add("busy", 10, 1) }
        repeat(40) { queue.poll() }
        repeat(10) { add("late", 10, 1) }
        assertEquals(5, List(10) { queue.poll()!! }.count { it.team == TeamId("late") })
    }

    @Test
    fun `a full queue evicts a request of the team with the largest backlog relative to its weight`() {
        val flood = List(400) { add("flood", 10, 1) }
        assertNull(flood.firstNotNullOfOrNull { it })
        assertEquals(TeamId("flood"), add("modest", 10, 1)?.team)
        assertEquals(TeamId("flood"), add("flood", 10, 1)?.team)
        assertEquals(listOf(400, 1), listOf(queue.size, queue.queuedCount(TeamId("modest"))))
    }

    @Test
    fun `a cancelled request is removed and costs its team nothing`() {
        val entries = List(30) { QueuedRequest(it, TeamId("oak"), 1_000, Long.MAX_VALUE).also { e -> queue.add(e, 1) } }
        repeat(30) { add("elm", 10, 1) }
        entries.dropLast(1).forEach { assertTrue(queue.remove(it)) }
        assertTrue(!queue.remove(entries.first()))
        assertEquals(31, queue.size)
        assertTrue(List(2) { queue.poll()!! }.any { it.value == 29 })
    }

    private fun add(team: String, tokens: Long, weight: Int) =
        queue.add(QueuedRequest(0, TeamId(team), tokens, Long.MAX_VALUE), weight)
}
