package dev.bergamotwind.serving

import dev.bergamotwind.serving.call.ResponseHead
import dev.bergamotwind.serving.catalogue.RouteKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource

/** Guards against targets that get more requests than the limit that they name in their answers. */
class TargetSendLimitSpec {
    // Guards against a target that is sent whatever callers ask for although it has named how much it takes.
    @Test
    fun `a target gets no more requests than the limit it names allows`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1")))
        val sentMillis = mutableListOf<Long>()
        val endMillis = fleet.loop.nowMillis() + 12_000
        var number = 0
        while (fleet.loop.nowMillis() < endMillis) {
            val before = fleet.targets.sent.size
            fleet.serve(id = "r${number++}")
            fleet.targets.sent.drop(before).forEach {
                sentMillis += fleet.loop.nowMillis()
                it.answer(200, limit = 1.0)
            }
            fleet.loop.advance(160)
        }
        val bound = sentMillis.filter { it >= sentMillis.first() + Samples.settings().contactMillis }
        val most = bound.maxOfOrNull { from -> bound.count { it in from until from + 4_000 } } ?: 0
        assertTrue(most <= 11) { "$most requests in 4 s, 11 are permitted" }
    }

    // Guards against VMs that each use the whole limit, also while they do not hear from each other.
    @ParameterizedTest
    @CsvSource("2, false", "2, true", "6, false", "6, true")
    fun `all VMs together send no more than the limit allows`(vmCount: Int, losesHeartbeats: Boolean) {
        val fleet = RequestFleet(vmCount, listOf(Samples.record("t1")))
        fleet.losesHeartbeats = losesHeartbeats
        val sentMillis = mutableListOf<Long>()
        repeat(400) { round ->
            val before = fleet.targets.sent.size
            repeat(vmCount) { fleet.serve(it, "r$round-$it") }
            fleet.targets.sent.drop(before).forEach {
                sentMillis += fleet.loop.nowMillis()
                it.answer(200, limit = 1.0)
            }
            fleet.loop.advance(50)
        }
        val bound = sentMillis.filter { it >= sentMillis.first() + Samples.settings().contactMillis }
        val most = bound.maxOf { from -> bound.count { it in from until from + 4_000 } }
        assertTrue(most <= 11) { "$most requests in 4 s, 11 are permitted" }
        assertTrue(bound.size >= 10) { "${bound.size} requests in 16 s" }
    }

    data class EvidenceCase(
        val name: String,
        val isLearnt: Boolean,
        val kind: RouteKind = RouteKind.NON_IDEMPOTENT,
        val end: (FakeTargets.Sent) -> Unit,
    ) {
        override fun toString() = name
    }

    // Guards against a limit that is overlooked, and one that is taken from an answer of another target or request.
    @ParameterizedTest
    @MethodSource("evidences")
    fun `a limit is learnt from an answer of the target to the request`(case: EvidenceCase) {
        val fleet = RequestFleet(1, listOf(Samples.record("t1")), case.kind)
        fleet.serve()
        case.end(fleet.targets.sent.single())
        fleet.loop.advance(20)
        val next = fleet.serve(id = "r2")
        assertEquals(if (case.isLearnt) 1 else 2, fleet.targets.sent.size)
        assertEquals(if (case.isLearnt) 503 else null, next.status)
    }

    // Guards against an end that is taken from an answer which the target wrote before its need.
    @Test
    fun `only an answer to a request that was sent after the limit was named lifts it`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1")))
        repeat(3) { fleet.serve(id = "r$it") }
        val (first, second, third) = fleet.targets.sent.toList()
        first.answer(200, limit = 1.0)
        fleet.loop.advance(10)
        second.answer(200)
        third.answer(500)
        assertEquals(503, fleet.serve(id = "r3").status)
        fleet.loop.advance(1_100)
        fleet.serve(id = "r4")
        fleet.targets.sent[3].answer(200)
        repeat(5) { fleet.serve(id = "r${5 + it}") }
        assertEquals(9, fleet.targets.sent.size)
    }

    // Guards against callers that wait in vain, that are told too short a time, or that all return at the same moment.
    @Test
    fun `a call is refused at once with a spread time when all targets are at their limits`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1"), Samples.record("t2")))
        repeat(2) { fleet.serve(id = "r$it") }
        assertEquals(2, fleet.targets.sent.map { it.target.id }.distinct().size)
        fleet.targets.sent.toList().forEach { it.answer(200, limit = 0.5) }
        val refused = List(5) { fleet.serve(id = "r${2 + it}") }
        assertEquals(listOf(503), refused.map { it.status }.distinct())
        assertTrue(
            refused[0].body.startsWith("all targets of service orders are at the request limits that they named"),
        )
        val retryAfter = refused.map { it.headers.single().value.toLong() }
        assertTrue(retryAfter.all { it in 1_900..4_000 }) { "$retryAfter" }
        assertTrue(retryAfter.distinct().size > 1) { "$retryAfter" }
    }

    // Guards against a target that is sent to beyond its limit, or callers that are refused, while another is free.
    @Test
    fun `another target takes the requests that a limited one does not`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1"), Samples.record("t2")))
        fleet.serve()
        fleet.targets.sent[0].answer(200, limit = 1.0)
        repeat(8) {
            fleet.serve(id = "r${2 + it}")
            fleet.targets.sent.last().answer(200)
        }
        assertEquals(9, fleet.targets.sent.size)
        assertEquals(1, fleet.targets.sent.count { it.target.id == fleet.targets.sent[0].target.id })
    }

    // Guards against a limit that outlives the process of the target that named it.
    @Test
    fun `a target that starts again under its id is not limited`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1", started = 1)))
        fleet.serve()
        fleet.targets.sent[0].answer(200, limit = 0.0)
        assertEquals(503, fleet.serve(id = "r2").status)
        fleet.register(Samples.record("t1", started = 2))
        fleet.loop.advance(50)
        repeat(3) { fleet.serve(id = "r${3 + it}") }
        assertEquals(4, fleet.targets.sent.size)
    }

    // Guards against permissions that are lost with each connection that cannot be opened.
    @Test
    fun `a request that reached no target does not count`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1")))
        fleet.serve()
        fleet.targets.sent[0].answer(200, limit = 0.25)
        fleet.loop.advance(4_100)
        repeat(3) {
            assertEquals(
                503,
                fleet.serve(id = "r${2 + it}").also {
                    fleet.targets.sent.last().listener.onNotSent("refused")
                }.status,
            )
        }
        assertEquals(4, fleet.targets.sent.size)
    }

    // Guards against a target that a limit of nothing takes out for good, because only an answer can lift the limit.
    @ParameterizedTest
    @ValueSource(doubles = [0.0, 1e-300, 0.001])
    fun `a target that takes next to nothing is asked now and then`(limit: Double) {
        val fleet = RequestFleet(1, listOf(Samples.record("t1")))
        fleet.serve()
        fleet.targets.sent[0].answer(200, limit = limit)
        repeat(200) {
            val before = fleet.targets.sent.size
            fleet.serve(id = "r${2 + it}")
            fleet.targets.sent.drop(before).forEach { sent -> sent.answer(200, limit = limit) }
            fleet.loop.advance(100)
        }
        assertTrue(fleet.targets.sent.size in 4..7) { "${fleet.targets.sent.size} requests in 20 s" }
    }

    // Guards against a limit that only the VMs keep that the target told, and one that outlives its end elsewhere.
    @Test
    fun `a VM that the target never told keeps the limit until another VM learns of its end`() {
        val fleet = RequestFleet(2, listOf(Samples.record("t1")))
        fleet.serve(0)
        fleet.targets.sent[0].answer(200, limit = 1.0)
        fleet.loop.advance(300)
        assertEquals(503, fleet.serve(1, "r2").status)
        repeat(50) {
            val before = fleet.targets.sent.size
            fleet.serve(0, "r${3 + it}")
            fleet.targets.sent.drop(before).forEach { it.answer(200) }
            fleet.loop.advance(100)
        }
        val before = fleet.targets.sent.size
        repeat(5) { fleet.serve(1, "s$it") }
        assertEquals(before + 5, fleet.targets.sent.size)
    }

    companion object {
        @JvmStatic
        fun evidences() = listOf(
            EvidenceCase("a success", true) { it.answer(200, limit = 1.0) },
            EvidenceCase("a refusal", true) { it.answer(503, notRun = true, limit = 1.0) },
            EvidenceCase("an error", true) { it.answer(500, limit = 1.0) },
            EvidenceCase("the head of a stream", true, RouteKind.STREAMING) { it.head(200, limit = 1.0) },
            EvidenceCase("an answer without a limit", false) { it.answer(200) },
            EvidenceCase("an answer to another request", false) { it.head(200, isOwn = false, limit = 1.0) },
            EvidenceCase("an error in answer to another request", false) { it.head(500, isOwn = false, limit = 1.0) },
            EvidenceCase("a success without a signature", false) { it.head(200, isSigned = false, limit = 1.0) },
            EvidenceCase("a refusal of another target at the address", false) {
                it.listener.onHead(
                    ResponseHead(421, emptyList(), true, true, true, false, true, null, 1.0),
                )
                it.listener.onComplete()
            },
        )
    }
}
