package dev.bergamotwind.routing

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.core.ReportingInvariantMonitor
import dev.bergamotwind.test.InMemoryKeyValueService
import dev.bergamotwind.test.KeyValueFaults
import dev.bergamotwind.test.ManualClock
import dev.bergamotwind.test.ThrowingInvariantMonitor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/** Guards the answer that a repeat gets, the retention of claims and the separation of teams. */
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

    private fun store(vm: String, clock: Clock = this.clock) =
        ClaimStore(service.client(faults), VmId(vm), clock, ThrowingInvariantMonitor)

    private fun ClaimStore.claim(request: String, digest: String = "d", key: String = "k") =
        claim(TeamId("t"), RouteId("r"), key, digest, RequestId(request))

    private fun ClaimStore.result(digest: String = "d", key: String = "k"): String =
        claim("second", digest, key).fold({ "${it.status} ${it.code} ${it.run.label}" }, { it.javaClass.simpleName })

    @ParameterizedTest
    @MethodSource("cases")
    fun `a repeat is answered when`(case: Case) {
        val holder = store("vm-1")
        val claim = (holder.claim("first").getOrNull() as ClaimOutcome.Acquired).claim
        case.holder(holder, claim)
        clock.advance(case.wait)
        assertEquals(case.expected, store("vm-2").result(case.digest))
    }

    @Test
    fun `refuses as not run in an outage and leaves no claim behind`() {
        val store = store("vm-1")
        faults.available = false
        assertEquals("503 claim_unavailable not_run", store.result())
        faults.available = true
        assertEquals("Acquired", store.result())
    }

    @Test
    fun `refuses when the response is lost and the record cannot be read, and removes it later`() {
        val store = store("vm-1")
        store.claim("warm-up", key = "other")
        faults.loseAnswer = { true.also { faults.available = false } }
        assertEquals("503 claim_unavailable not_run", store.result())
        faults.available = true
        faults.loseAnswer = { false }
        assertEquals("409 in_progress unknown", store("vm-2").result())
        store.maintain()
        assertEquals("Acquired", store("vm-2").result())
    }

    @Test
    fun `records an answer that could not be written during an outage`() {
        val store = store("vm-1")
        val claim = (store.claim("first").getOrNull() as ClaimOutcome.Acquired).claim
        faults.available = false
        store.complete(claim, RecordedAnswer.of(200, null, ByteArray(1)))
        faults.available = true
        store.maintain()
        assertEquals("AlreadyDone", store("vm-2").result())
    }

    @Test
    fun `a process that was paused beyond the retention cannot send`() {
        val claim = (store("vm-1").claim("first").getOrNull() as ClaimOutcome.Acquired).claim
        clock.advance(26.hours)
        assertEquals("Acquired", store("vm-2").result())
        assertTrue(claim.beginSend().isLeft())
    }

    @Test
    fun `a release or a second send after sending has no effect and is reported`() {
        val monitor = ReportingInvariantMonitor(EventRecorder.None)
        val store = ClaimStore(service.client(), VmId("vm-1"), clock, monitor)
        val claim = (store.claim("first").getOrNull() as ClaimOutcome.Acquired).claim
        assertTrue(claim.beginSend().isRight())
        store.release(claim)
        assertEquals("409 in_progress unknown", store("vm-2").result())
        assertTrue(claim.beginSend().isLeft())
        val violations = listOf(Invariant.NOT_RUN_IS_TRUE, Invariant.AT_MOST_ONCE).map(monitor::violations)
        assertEquals(listOf(1L, 1L), violations)
    }

    @Test
    fun `grants about one lease an hour however many claims are made`() {
        val store = store("vm-1")
        store.claim("first")
        val before = service.calls
        repeat(100) { store.claim("request-$it", key = "key-$it") }
        assertEquals(100, service.calls - before)
    }

    @Test
    fun `keeps the claims of teams and routes apart whatever their ids contain`() {
        val parts = listOf("a", "b", "a/b", "a%2Fb", "..", "\u0000", "\ud800", "\ud801", "a b", "a+b", "", "/")
        val keys = parts.flatMap { t ->
            parts.flatMap { r -> parts.map { ClaimKeys.claim(TeamId(t), RouteId(r), it) } }
        }
        assertEquals(keys.size, keys.toSet().size)
        assertTrue(keys.all { it.startsWith("/bergamotwind/claim/") })
        assertEquals(setOf(5), keys.map { key -> key.count { it == '/' } }.toSet())
    }

    companion object {
        private fun answer(bytes: Int) = RecordedAnswer.of(201, "application/json", ByteArray(bytes))

        @JvmStatic
        fun cases() = listOf(
            Case("the holder works", "409 in_progress unknown") { _, claim -> claim.beginSend() },
            Case("the holder died", "409 unknown unknown", wait = 1.minutes) { _, claim -> claim.beginSend() },
            Case("the holder released the claim", "Acquired") { store, claim -> store.release(claim) },
            Case("the outcome is unknown", "409 unknown unknown") { store, claim ->
                claim.beginSend()
                store.markUnknown(claim)
            },
            Case("the call is done", "AlreadyDone", wait = 24.hours) { store, claim ->
                claim.beginSend()
                store.complete(claim, answer(10))
            },
            Case("the answer was too large", "409 already_run run") { store, claim ->
                claim.beginSend()
                store.complete(claim, answer(RECORDED_BODY_LIMIT_BYTES + 1))
            },
            Case("the body differs", "422 idempotency_key_reused not_run", digest = "e") { store, claim ->
                claim.beginSend()
                store.complete(claim, answer(10))
            },
            Case("retention has ended", "Acquired", wait = 26.hours) { _, claim -> claim.beginSend() },
        )
    }
}
