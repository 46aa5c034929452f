package dev.bergamotwind.routing

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.core.ReportingInvariantMonitor
import dev.bergamotwind.test.ExecutionLedger
import dev.bergamotwind.test.InMemoryKeyValueService
import dev.bergamotwind.test.KeyValueFaults
import dev.bergamotwind.test.ManualClock
import dev.bergamotwind.test.ThrowingInvariantMonitor
import dev.bergamotwind.test.UnreliableKeyValueService
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that a claimed call runs at most once, that "not run" is never reported falsely, and that a repeated call gets
 * the answer of the same call of the same team.
 */
class ClaimStoreSpec {
    data class Case(
        val name: String,
        val expected: String,
        val digest: String = "d",
        val wait: Duration = Duration.ZERO,
        val holder: (ClaimStore, Claim) -> Unit,
    ) {
        override fun toString() = name
    }

    private val clock = ManualClock()
    private val service = InMemoryKeyValueService(clock)
    private val faults = KeyValueFaults()

    private fun store(vm: String) = ClaimStore(service.client(faults), VmId(vm), clock, ThrowingInvariantMonitor)

    private fun ClaimStore.claim(request: String, digest: String = "d", key: String = "k") =
        claim(TeamId("t"), RouteId("r"), key, digest, RequestId(request))

    private fun ClaimStore.acquireClaim() = (claim("first").getOrNull() as ClaimOutcome.Acquired).claim

    private fun ClaimStore.claimResult(digest: String = "d", key: String = "k"): String =
        claim("second", digest, key).fold({ "${it.status} ${it.code} ${it.run.label}" }, { it.javaClass.simpleName })

    @ParameterizedTest
    @MethodSource("cases")
    fun `answers a repeated call when`(case: Case) {
        val holder = store("vm-1")
        case.holder(holder, holder.acquireClaim())
        clock.advance(case.wait)
        assertEquals(case.expected, store("vm-2").claimResult(case.digest))
    }

    @Test
    fun `refuses as not run during an outage and leaves no claim behind`() {
        val store = store("vm-1")
        faults.available = false
        assertEquals("503 claim_unavailable not_run", store.claimResult())
        faults.available = true
        assertEquals("Acquired", store.claimResult())
    }

    @Test
    fun `refuses when the response is lost and the record cannot be read, and deletes the record later`() {
        val store = store("vm-1")
        store.claim("warm-up", key = "other")
        faults.loseAnswer = { true.also { faults.available = false } }
        assertEquals("503 claim_unavailable not_run", store.claimResult())
        faults.available = true
        faults.loseAnswer = { false }
        assertEquals("409 in_progress unknown", store("vm-2").claimResult())
        store.renewPresenceAndRetryWrites()
        assertEquals("Acquired", store("vm-2").claimResult())
    }

    @Test
    fun `retries the write of an answer after an outage and never overwrites it with an older state`() {
        val store = store("vm-1")
        val claims = listOf("k1", "k2").map {
            (store.claim("first", key = it).getOrNull() as ClaimOutcome.Acquired).claim
        }
        val answer = RecordedAnswer.of(200, null, ByteArray(1))
        faults.available = false
        store.complete(claims[0], answer)
        store.markUnknown(claims[1])
        faults.available = true
        store.complete(claims[1], answer)
        store.renewPresenceAndRetryWrites()
        assertEquals(List(2) { "AlreadyDone" }, listOf("k1", "k2").map { store("vm-2").claimResult(key = it) })
    }

    @Test
    fun `a process that was paused for longer than the retention cannot send`() {
        val claim = store("vm-1").acquireClaim()
        clock.advance(26.hours)
        assertEquals("Acquired", store("vm-2").claimResult())
        assertTrue(claim.beginSend().isLeft())
    }

    @Test
    fun `a release or a second send after sending has no effect and is reported`() {
        val monitor = ReportingInvariantMonitor(EventRecorder.None)
        val store = ClaimStore(service.client(), VmId("vm-1"), clock, monitor)
        val claim = store.acquireClaim()
        assertTrue(claim.beginSend().isRight())
        store.release(claim)
        assertEquals("409 in_progress unknown", store("vm-2").claimResult())
        assertTrue(claim.beginSend().isLeft())
        val violations = listOf(Invariant.NOT_RUN_IS_TRUE, Invariant.AT_MOST_ONCE).map(monitor::violations)
        assertEquals(listOf(1L, 1L), violations)
    }

    @Test
    fun `grants about one lease an hour regardless of the number of claims`() {
        val store = store("vm-1")
        store.claim("first")
        val before = service.calls
        repeat(100) { store.claim("request-$it", key = "key-$it") }
        assertEquals(100, service.calls - before)
    }

    @Test
    fun `separates the claims of teams and routes whatever their ids contain`() {
        val parts = listOf("a", "b", "a/b", "a%2Fb", "..", "\u0000", "\ud800", "\ud801", "a b", "a+b", "", "/")
        val keys = parts.flatMap { t ->
            parts.flatMap { r -> parts.map { ClaimKeys.claimKey(TeamId(t), RouteId(r), it) } }
        }
        assertEquals(keys.size, keys.toSet().size)
        assertTrue(keys.all { it.startsWith("/bergamotwind/claim/") })
        assertEquals(setOf(5), keys.map { key -> key.count { it == '/' } }.toSet())
    }

    @Test
    fun `runs each key at most once and reports not run only when that is true`() {
        var runs = 0
        var repeats = 0
        for (round in 0 until 100) {
            val simulation = Simulation(System.getProperty("seed", "1").toLong() + round)
            repeat(System.getProperty("steps", "400").toInt()) { simulation.step() }
            simulation.ledger.verify()
            runs += simulation.ledger.size
            repeats += simulation.repeatsAnswered
        }
        assertTrue(runs > 100 && repeats > 0) { "runs=$runs repeats=$repeats: the simulation tested nothing" }
    }

    private class Node(val number: Int, service: InMemoryKeyValueService, val clock: ManualClock, random: Random) {
        val client = UnreliableKeyValueService.of(service, random)
        private var incarnation = 0
        var store = startProcess()

        fun startProcess() =
            ClaimStore(client, VmId("vm-$number"), clock, ThrowingInvariantMonitor, "p$number-${incarnation++}")
    }

    private data class HeldClaim(val node: Node, val store: ClaimStore, val key: String, val claim: Claim)

    private class Simulation(seed: Long) {
        val random = Random(seed)
        val clock = ManualClock()
        val service = InMemoryKeyValueService(clock)
        val nodes = List(4) { Node(it, service, clock, random) }
        val heldClaims = mutableListOf<HeldClaim>()
        val ledger = ExecutionLedger()
        val answers = mutableMapOf<String, RecordedAnswer>()
        var requests = 0
        var repeatsAnswered = 0

        fun step() {
            when (random.nextInt(12)) {
                in 0..3 -> call(nodes.random(random), "key-${requests / 40 + random.nextInt(12)}")

                in 4..7 -> if (heldClaims.isNotEmpty()) {
                    continueCall(heldClaims.removeAt(random.nextInt(heldClaims.size)))
                }

                8 -> restartProcess(nodes.random(random))

                9 -> nodes.random(random).client.randomizeFaults()

                10 -> nodes.random(random).run {
                    if (random.nextBoolean()) client.applyDelayedWrites() else store.renewPresenceAndRetryWrites()
                }

                else -> clock.advance(random.nextInt(40).seconds)
            }
        }

        private fun call(node: Node, key: String) {
            val request = RequestId("request-${requests++}")
            node.store.claim(TeamId("t"), RouteId("r"), key, "digest", request).fold({
                if (it.run == RunOutcome.NOT_RUN) ledger.recordNotRun(request)
                assertTrue(it is Failure.Unavailable || it is Failure.AlreadyClaimed) { "$it" }
            }) {
                when (it) {
                    is ClaimOutcome.Acquired -> heldClaims += HeldClaim(node, node.store, key, it.claim)

                    is ClaimOutcome.AlreadyDone -> {
                        repeatsAnswered++
                        assertEquals(answers[key], it.answer) { "answer of another call for $key" }
                    }
                }
            }
        }

        private fun continueCall(heldClaim: HeldClaim) {
            if (random.nextInt(4) == 0) {
                heldClaim.store.release(heldClaim.claim)
                ledger.recordNotRun(heldClaim.claim.request)
                assertTrue(heldClaim.claim.beginSend().isLeft()) { "a released claim can be sent" }
                return
            }
            if (heldClaim.claim.beginSend().isLeft()) return heldClaim.store.release(heldClaim.claim)
            ledger.recordExecution(heldClaim.key, heldClaim.claim.request)
            val answer = RecordedAnswer.of(200, "text/plain", heldClaim.claim.request.value.toByteArray())
            when (random.nextInt(6)) {
                0 -> heldClaim.store.markUnknown(heldClaim.claim)
                1 -> restartProcess(heldClaim.node)
                else -> heldClaim.store.complete(heldClaim.claim, answer).also { answers[heldClaim.key] = answer }
            }
        }

        /**
         * Restarts the process of [node]. In half of the cases the old process is only paused and uses its claims
         * later.
         */
        private fun restartProcess(node: Node) {
            if (random.nextBoolean()) heldClaims.removeAll { it.node === node }
            node.store = node.startProcess()
        }
    }

    companion object {
        private fun completed(bytes: Int): (ClaimStore, Claim) -> Unit = { store, claim ->
            claim.beginSend()
            store.complete(claim, RecordedAnswer.of(201, "application/json", ByteArray(bytes)))
        }

        private val sentClaim: (ClaimStore, Claim) -> Unit = { _, claim -> claim.beginSend() }

        @JvmStatic
        fun cases() = listOf(
            Case("the holder is executing the call", "409 in_progress unknown", holder = sentClaim),
            Case("the holder died", "409 unknown unknown", wait = 1.minutes, holder = sentClaim),
            Case("the holder released the claim", "Acquired", holder = ClaimStore::release),
            Case("the outcome is unknown", "409 unknown unknown", holder = ClaimStore::markUnknown),
            Case("the call has completed", "AlreadyDone", wait = 24.hours, holder = completed(10)),
            Case("the answer was too large", "409 already_run run", holder = completed(RECORDED_BODY_LIMIT_BYTES + 1)),
            Case("the body differs", "422 idempotency_key_reused not_run", digest = "e", holder = completed(10)),
            Case("the retention has expired", "Acquired", wait = 26.hours, holder = sentClaim),
        )
    }
}
