package dev.bergamotwind.routing

import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.test.DelayingKeyValueService
import dev.bergamotwind.test.InMemoryKeyValueService
import dev.bergamotwind.test.KeyValueFaults
import dev.bergamotwind.test.ManualClock
import dev.bergamotwind.test.ThrowingInvariantMonitor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Guards against a second run of a claimed call and against untrue "not run" answers, under all faults at once. */
class ClaimStoreRandomSpec {
    private class Node(val number: Int, service: InMemoryKeyValueService, val clock: ManualClock, random: Random) {
        val faults = KeyValueFaults()
        val link = DelayingKeyValueService(service.client(faults), random)
        private var incarnation = 0
        var store = start()

        fun restart() {
            store = start()
        }

        private fun start() =
            ClaimStore(link, VmId("vm-$number"), clock, ThrowingInvariantMonitor, "p$number-${incarnation++}")
    }

    private data class Held(val node: Node, val store: ClaimStore, val key: String, val claim: Claim)

    private class World(seed: Long) {
        val random = Random(seed)
        val clock = ManualClock()
        val service = InMemoryKeyValueService(clock)
        val nodes = List(4) { Node(it, service, clock, random) }
        val held = mutableListOf<Held>()
        val runs = mutableMapOf<String, MutableList<RequestId>>()
        val notRun = mutableSetOf<RequestId>()
        val answers = mutableMapOf<String, RecordedAnswer>()
        var requests = 0
        var repeatsAnswered = 0

        fun step() {
            when (random.nextInt(12)) {
                in 0..3 -> call(nodes.random(random), "key-${random.nextInt(KEYS)}")
                in 4..7 -> if (held.isNotEmpty()) advance(held.removeAt(random.nextInt(held.size)))
                8 -> die(nodes.random(random))
                9 -> disturb(nodes.random(random))
                10 -> nodes.random(random).run { if (random.nextBoolean()) link.deliver() else store.maintain() }
                else -> clock.advance(random.nextInt(40).seconds)
            }
        }

        private fun call(node: Node, key: String) {
            val request = RequestId("request-${requests++}")
            node.store.claim(TeamId("t"), RouteId("r"), key, "digest", request).fold({
                if (it.run == RunOutcome.NOT_RUN) notRun += request
                assertTrue(it is Failure.Unavailable || it is Failure.AlreadyClaimed) { "$it" }
            }) {
                when (it) {
                    is ClaimOutcome.Acquired -> held += Held(node, node.store, key, it.claim)

                    is ClaimOutcome.AlreadyDone -> {
                        repeatsAnswered++
                        assertEquals(answers[key], it.answer) { "answer of another call for $key" }
                    }
                }
            }
        }

        private fun advance(work: Held) {
            if (random.nextInt(4) == 0) {
                work.store.release(work.claim)
                notRun += work.claim.request
                assertTrue(work.claim.beginSend().isLeft()) { "a released claim can be sent" }
                return
            }
            if (work.claim.beginSend().isLeft()) return work.store.release(work.claim)
            runs.getOrPut(work.key, ::mutableListOf) += work.claim.request
            val answer = RecordedAnswer.of(200, "text/plain", work.claim.request.value.toByteArray())
            when (random.nextInt(6)) {
                0 -> work.store.markUnknown(work.claim)
                1 -> die(work.node)
                else -> work.store.complete(work.claim, answer).also { answers[work.key] = answer }
            }
        }

        /** Half of the processes only seem dead: their claims stay and are used later, as after a long pause. */
        private fun die(node: Node) {
            if (random.nextBoolean()) held.removeAll { it.node === node }
            node.restart()
        }

        private fun disturb(node: Node) {
            node.faults.available = random.nextInt(4) != 0
            val lost = if (random.nextBoolean()) random.nextDouble(0.6) else 0.0
            node.faults.loseAnswer = { random.nextDouble() < lost }
            node.link.lateShare = if (random.nextBoolean()) random.nextDouble(0.4) else 0.0
        }

        fun check() {
            val twice = runs.filterValues { it.size > 1 }
            assertTrue(twice.isEmpty()) { "ran more than once: $twice" }
            val untrue = runs.values.flatten().filter { it in notRun }
            assertTrue(untrue.isEmpty()) { "answered not run but ran: $untrue" }
        }
    }

    @Test
    fun `runs each key at most once and answers not run only when that is true`() {
        val seed = System.getProperty("seed", "1").toLong()
        val steps = System.getProperty("steps", "400").toInt()
        var runs = 0
        var repeats = 0
        for (round in 0 until ROUNDS) {
            val world = World(seed + round)
            repeat(steps) { world.step() }
            world.check()
            runs += world.runs.size
            repeats += world.repeatsAnswered
        }
        assertTrue(runs > ROUNDS && repeats > 0) { "runs=$runs repeats=$repeats: the rounds tested nothing" }
    }

    private companion object {
        const val KEYS = 12
        const val ROUNDS = 100
    }
}
