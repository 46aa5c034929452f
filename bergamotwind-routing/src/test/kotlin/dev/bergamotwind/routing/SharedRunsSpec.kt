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

/** Guards against half answers to sharers, answers that cross teams or attempts, and retries above the budget. */
class SharedRunsSpec {
    private val runs = SharedRuns<Int>(sizeOf = { 1 }, limitBytes = 4)

    private fun join(team: String = "t", digest: String = "d") = runs.join(SharedRunKey(TeamId(team), digest)) { }

    @Test
    fun `each subscriber gets every event from the start`() {
        val first = join()
        first.run.publish(1)
        val second = join()
        assertEquals(listOf(true, false), listOf(first.isFirst, second.isFirst))
        first.run.publish(2)
        first.close()
        second.run.finish()
        assertEquals(listOf(SharedEvent.Item(1), SharedEvent.Item(2), SharedEvent.End), List(3) { second.poll() })
        assertEquals(0, runs.size)
    }

    @Test
    fun `teams never share a run`() = assertNotSame(join("t").run, join("u").run)

    @Test
    fun `the run is cancelled when the last subscriber leaves and not before`() {
        var cancelled = 0
        val first = join().also { it.run.onCancel { cancelled++ } }
        val second = join()
        first.close()
        assertEquals(0, cancelled)
        second.close()
        assertEquals(1, cancelled)
        assertFalse(second.run.publish(1))
        assertTrue(join().isFirst)
    }

    @Test
    fun `a slow subscriber is detached and stalls neither the others nor the producer`() {
        val fast = join()
        val slow = join()
        repeat(6) {
            assertTrue(fast.run.publish(it))
            assertEquals(SharedEvent.Item(it), fast.poll())
        }
        assertTrue(slow.poll() is SharedEvent.Failed)
        assertTrue(join().isFirst) { "joined a run whose start is gone" }
    }

    @Test
    fun `a full buffer pauses the producer and fails one that goes on`() {
        var space = 0
        val only = join().also { it.run.onSpace { space++ } }
        repeat(5) { only.run.publish(it) }
        assertTrue(only.run.isFull)
        only.poll()
        assertEquals(1, space)
        assertFalse((0 until 9).all { only.run.publish(it) })
    }

    @Test
    fun `retries stay within a tenth of the calls and are for idempotent work only`() {
        val random = Random(System.getProperty("seed", "1").toLong())
        val budget = RetryBudget()
        repeat(10_000) {
            if (random.nextInt(3) == 0) budget.called() else budget.tryRetry(idempotent = true)
            assertTrue(budget.retries * 10 <= budget.calls) { "${budget.retries} of ${budget.calls}" }
        }
        assertTrue(budget.retries > 0)
        repeat(10) { budget.called() }
        assertFalse(budget.tryRetry(idempotent = false))
        assertTrue(HedgePolicy(budget).tryHedge(idempotent = true))
    }

    @Test
    fun `hedges after the observed percentile and forgets old observations`() {
        val clock = ManualClock()
        val hedge = HedgePolicy(RetryBudget(), clock)
        repeat(99) { hedge.observed(it.milliseconds) }
        assertNull(hedge.delay())
        hedge.observed(99.milliseconds)
        assertEquals(94.0, hedge.delay()!!.inWholeMilliseconds.toDouble(), 2.0)
        clock.advance(3.minutes)
        assertNull(hedge.delay())
    }

    @Test
    fun `late and crossed answers are discarded and counted`() {
        val registry = AttemptRegistry()
        val (first, second) = List(2) { registry.open(RequestId("r")) }
        assertFalse(registry.accept(first, echoed = second.toString()))
        assertTrue(registry.accept(second, echoed = second.toString()))
        assertFalse(registry.accept(first))
        registry.broken(second)
        assertTrue(registry.accept(first))
        registry.ended(first.request)
        assertFalse(registry.accept(first))
        assertEquals(listOf(2L, 1L, 0L), listOf(registry.lateCount, registry.crossedCount, registry.size.toLong()))
    }
}
