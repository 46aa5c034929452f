package dev.bergamotwind.routing

import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.test.ManualClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotSame
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Checks shared runs, the retry budget, hedging and which attempt may answer: no partial answers, none of another team.
 */
class SharedRunsSpec {
    private val runs = SharedRuns<Int>(sizeOf = { 1 }, limitBytes = 4)

    private fun join(team: String = "t", digest: String = "d") = runs.join(SharedRunKey(TeamId(team), digest)) { }

    @Test
    fun `each subscriber gets every event from the beginning`() {
        val first = join()
        first.run.publish(1)
        val second = join()
        assertEquals(listOf(true, false), listOf(first.startedRun, second.startedRun))
        first.run.publish(2)
        first.close()
        second.run.finish()
        val expected = listOf(SharedRunEvent.Item(1), SharedRunEvent.Item(2), SharedRunEvent.End)
        assertEquals(expected, List(3) { second.poll() })
        assertEquals(0, runs.size)
    }

    @Test
    fun `teams never share a run`() = assertNotSame(join("t").run, join("u").run)

    @Test
    fun `the run is cancelled only when the last subscriber unsubscribes`() {
        var cancelled = 0
        val first = join().also { it.run.onCancel { cancelled++ } }
        val second = join()
        first.close()
        assertEquals(0, cancelled)
        second.close()
        assertEquals(1, cancelled)
        assertFalse(second.run.publish(1))
        assertTrue(join().startedRun)
    }

    @Test
    fun `a slow subscriber is detached and blocks neither the others nor the producer`() {
        val fast = join()
        val slow = join()
        repeat(6) {
            assertTrue(fast.run.publish(it))
            assertEquals(SharedRunEvent.Item(it), fast.poll())
        }
        assertTrue(slow.poll() is SharedRunEvent.Failed)
        assertTrue(join().startedRun) { "joined a run whose first events are evicted" }
    }

    @Test
    fun `a full buffer pauses the producer and fails the run if it continues`() {
        var spaceNotifications = 0
        val only = join().also { it.run.onSpaceAvailable { spaceNotifications++ } }
        repeat(5) { only.run.publish(it) }
        assertTrue(only.run.isFull)
        only.poll()
        assertEquals(1, spaceNotifications)
        assertFalse((0 until 9).all { only.run.publish(it) })
    }

    @Test
    fun `retries stay within a tenth of the calls and are granted to idempotent requests only`() {
        val random = Random(System.getProperty("seed", "1").toLong())
        val budget = RetryBudget()
        repeat(10_000) {
            if (random.nextInt(3) == 0) budget.recordCall() else budget.tryAcquireRetry(idempotent = true)
            assertTrue(budget.retries * 10 <= budget.calls) { "${budget.retries} of ${budget.calls}" }
        }
        assertTrue(budget.retries > 0)
        repeat(10) { budget.recordCall() }
        assertFalse(budget.tryAcquireRetry(idempotent = false))
        assertTrue(HedgePolicy(budget).tryAcquireHedge(idempotent = true))
    }

    @Test
    fun `hedges after the observed percentile and drops old observations`() {
        val clock = ManualClock()
        val hedge = HedgePolicy(RetryBudget(), clock)
        repeat(99) { hedge.recordFirstToken(it.milliseconds) }
        assertNull(hedge.hedgeDelay())
        hedge.recordFirstToken(99.milliseconds)
        assertEquals(94.0, hedge.hedgeDelay()!!.inWholeMilliseconds.toDouble(), 2.0)
        clock.advance(3.minutes)
        assertNull(hedge.hedgeDelay())
    }

    @Test
    fun `late and mismatched answers are discarded and counted`() {
        val registry = AttemptRegistry()
        val (first, second) = List(2) { registry.openAttempt(RequestId("r")) }
        assertFalse(registry.acceptAnswer(first, echoedId = second.toString()))
        assertTrue(registry.acceptAnswer(second, echoedId = second.toString()))
        assertFalse(registry.acceptAnswer(first))
        registry.markFailed(second)
        assertTrue(registry.acceptAnswer(first))
        registry.removeRequest(first.request)
        assertFalse(registry.acceptAnswer(first))
        assertEquals(listOf(2L, 1L, 0L), listOf(registry.lateCount, registry.mismatchedCount, registry.size.toLong()))
    }
}
