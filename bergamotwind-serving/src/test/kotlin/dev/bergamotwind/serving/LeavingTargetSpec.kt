package dev.bergamotwind.serving

import dev.bergamotwind.serving.call.ResponseHead
import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.targets.TargetLifecycle
import dev.bergamotwind.serving.targets.TargetStatement
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource

/** Guards against new work for targets that have said in an answer that they leave. */
class LeavingTargetSpec {
    // Guards against a statement that is overlooked in some kind of answer, and one that is not the target's own.
    @ParameterizedTest
    @MethodSource("evidences")
    fun `a target that says in any answer of its own that it leaves gets no more requests`(case: AnswerCase) {
        val models = mapOf("m1" to emptySet<String>())
        val fleet = RequestFleet(1, listOf(Samples.record("t1", case.service, models)), case.kind, case.service)
        val work = Samples.work().takeIf { case.service == Samples.engines }
        fleet.serve(work = work)
        case.answer(fleet)
        fleet.loop.advance(20)
        fleet.serve(id = "r2", work = work)
        assertEquals(if (case.isBelieved) 1 else 2, fleet.targets.sent.size)
    }

    data class EntryCase(val name: String, val getsRequests: Boolean, val change: RequestFleet.() -> Unit) {
        override fun toString() = name
    }

    // Guards against a store entry that overrules the target, and a statement that outlives the start that made it.
    @ParameterizedTest
    @MethodSource("entries")
    fun `only another start of the target ends its leaving`(case: EntryCase) {
        val fleet = RequestFleet(1, listOf(Samples.record("t1", started = 1)))
        fleet.serve()
        fleet.targets.sent.single().answer(200, statement = LEAVING)
        fleet.loop.advance(50)
        case.change(fleet)
        fleet.loop.advance(50)
        fleet.serve(id = "r2")
        assertEquals(if (case.getsRequests) 2 else 1, fleet.targets.sent.size)
    }

    // Guards against an older entry, in a store that has returned from a copy, that brings a leaving target back.
    @ParameterizedTest
    @CsvSource("0, 1, 0", "0, 2, 1", "3000, 1, 0", "3000, 2, 1")
    fun `a target whose entry has said that it leaves is used again only when it has started again`(
        lostMillis: Long,
        started: Long,
        requests: Int,
    ) {
        val fleet = RequestFleet(1, listOf(Samples.record("t1", started = 1)))
        fleet.register(Samples.record("t1", lifecycle = TargetLifecycle.DRAINING, started = 1))
        fleet.loop.advance(50)
        if (lostMillis > 0) fleet.store.remove("targets/t1")
        fleet.loop.advance(lostMillis)
        fleet.register(Samples.record("t1", started = started))
        fleet.loop.advance(50)
        fleet.serve()
        assertEquals(requests, fleet.targets.sent.size)
    }

    // Guards against a second attempt that falls back on a target which has said that it leaves.
    @Test
    fun `a retry does not go to a leaving target`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1"), Samples.record("t2")), RouteKind.IDEMPOTENT)
        val leaving = fleet.letOneLeave()
        val exchange = fleet.serve(id = "r2")
        fleet.targets.sent.last().listener.onInterrupted("reset")
        assertEquals(502, exchange.status)
        assertEquals(1, fleet.targets.sent.count { it.target.id == leaving })
    }

    // Guards against a broken stream that is resumed at a target which has said that it leaves.
    @Test
    fun `a stream is not resumed at a leaving target`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1"), Samples.record("t2")), RouteKind.STREAMING)
        val leaving = fleet.letOneLeave()
        val exchange = fleet.serve(id = "r2")
        fleet.targets.sent.last().head(200)
        fleet.targets.sent.last().event(1)
        fleet.targets.sent.last().listener.onInterrupted("reset")
        assertTrue(exchange.isAborted)
        assertEquals(1, fleet.targets.sent.count { it.target.id == leaving })
    }

    // Guards against a call that waited for a model and then goes to the target that has said meanwhile that it leaves.
    @Test
    fun `a call that waits for a model does not go to a leaving target that gets it`() {
        val held = mapOf("m1" to emptySet<String>())
        val fleet =
            RequestFleet(
                1,
                listOf(Samples.record("e1", Samples.engines, held, started = 1)),
                RouteKind.STREAMING,
                Samples.engines,
            )
        // Until then what the placement holder has announced counts more than the entry.
        fleet.loop.advance(3_000)
        fleet.serve(work = Samples.work("m1"))
        val waiting = fleet.serve(id = "r2", work = Samples.work("m2"))
        fleet.targets.sent.single().head(200, statement = LEAVING)
        fleet.register(Samples.record("e1", Samples.engines, held + ("m2" to emptySet()), started = 1))
        fleet.loop.advance(100)
        assertEquals(null, waiting.status)
        assertEquals(1, fleet.targets.sent.size)
        fleet.register(Samples.record("e2", Samples.engines, mapOf("m2" to emptySet()), started = 1))
        fleet.loop.advance(100)
        assertEquals("e2", fleet.targets.sent.last().target.id.value)
    }

    // Guards against placement orders to an engine that leaves.
    @Test
    fun `a leaving engine gets no orders`() {
        val held = mapOf("m1" to emptySet<String>())
        val fleet =
            RequestFleet(1, listOf(Samples.record("e1", Samples.engines, held)), RouteKind.STREAMING, Samples.engines)
        fleet.serve(work = Samples.work("m1"))
        fleet.targets.sent.single().head(200, statement = LEAVING)
        fleet.loop.advance(6_000)
        val before = fleet.orders.sentOrders.size
        repeat(20) {
            fleet.serve(
                id = "r${2 + it}",
                work = Samples.work(
                    if (it % 2 ==
                        0
                    ) {
                        "m2"
                    } else {
                        "m1"
                    },
                    adapter = "a1".takeIf { _ -> it % 2 == 1 },
                ),
            )
            fleet.loop.advance(300)
        }
        assertEquals(before, fleet.orders.sentOrders.size)
        assertEquals(1, fleet.targets.sent.size)
    }

    // Guards against requests that are cut although their target still finishes what it runs.
    @Test
    fun `what runs at a leaving target is finished`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1")))
        val first = fleet.serve()
        val second = fleet.serve(id = "r2")
        fleet.targets.sent[0].answer(200, statement = LEAVING)
        fleet.loop.advance(200)
        fleet.targets.sent[1].answer(200, statement = LEAVING)
        assertEquals(listOf(200, 200), listOf(first.status, second.status))
    }

    // Guards against callers that wait in vain for a target that will not come back.
    @Test
    fun `a call is refused at once when all targets leave`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1")))
        fleet.serve()
        fleet.targets.sent.single().answer(503, notRun = true, statement = LEAVING)
        assertEquals(503, fleet.serve(id = "r2").status)
    }

    private fun RequestFleet.letOneLeave() = run {
        serve()
        val sent = targets.sent.single()
        sent.head(200, statement = LEAVING)
        sent.event(1)
        sent.listener.onComplete()
        sent.target.id
    }

    companion object {
        private val LEAVING = TargetStatement(isLeaving = true)

        @JvmStatic
        fun evidences() = listOf(
            AnswerCase("a success", true) { it.targets.sent.last().answer(200, statement = LEAVING) },
            AnswerCase("a refusal", true) {
                it.targets.sent.last().answer(503, notRun = true, statement = LEAVING)
            },
            AnswerCase("an error", true) { it.targets.sent.last().answer(500, statement = LEAVING) },
            AnswerCase("the head of a stream", true, RouteKind.STREAMING) {
                it.targets.sent.last().head(200, statement = LEAVING)
            },
            AnswerCase("the head of an engine's stream", true, RouteKind.STREAMING, Samples.engines) {
                it.targets.sent.last().head(200, statement = LEAVING)
            },
            AnswerCase("an engine's answer that it lacks the model", true, RouteKind.STREAMING, Samples.engines) {
                it.targets.sent.last().answer(421, notRun = true, statement = LEAVING)
            },
            AnswerCase("an answer to an order or a call for a report", true, RouteKind.STREAMING, Samples.engines) {
                val record = it.targets.sent.last().target
                it.orders.onStatement?.invoke(record, LEAVING, it.loop.nowMillis())
            },
            AnswerCase("an answer that does not say so", false) { it.targets.sent.last().answer(200) },
            AnswerCase("an answer to another request", false) {
                it.targets.sent.last().head(200, isOwn = false, statement = LEAVING)
            },
            AnswerCase("a success without a signature", false) {
                it.targets.sent.last().head(200, isSigned = false, statement = LEAVING)
            },
            AnswerCase("a refusal of another target at the address", false) {
                val sent = it.targets.sent.last()
                sent.listener.onHead(
                    ResponseHead(421, emptyList(), true, true, true, false, true, null, null, LEAVING),
                )
                sent.listener.onComplete()
                it.loop.advance(10_100)
            },
            AnswerCase("an answer of an earlier start to an order", false, RouteKind.STREAMING, Samples.engines) {
                val record = it.targets.sent.last().target.copy(startedWallMillis = 99)
                it.orders.onStatement?.invoke(record, LEAVING, it.loop.nowMillis())
            },
        )

        @JvmStatic
        fun entries() = listOf(
            EntryCase("a later entry that says ready", false) { register(Samples.record("t1", started = 1)) },
            EntryCase("an entry that lapses and is written again", false) {
                store.remove("targets/t1")
                loop.advance(3_000)
                register(Samples.record("t1", started = 1))
            },
            EntryCase("an entry that cannot be read for a while", false) {
                store.put("targets/t1", "garbage".toByteArray())
                loop.advance(3_000)
                register(Samples.record("t1", started = 1))
            },
            EntryCase("an entry that says draining and then ready", false) {
                register(Samples.record("t1", lifecycle = TargetLifecycle.DRAINING, started = 1))
                loop.advance(1_000)
                register(Samples.record("t1", started = 1))
            },
            EntryCase("an entry of an earlier start and then its own", false) {
                register(Samples.record("t1", started = 0))
                loop.advance(1_000)
                register(Samples.record("t1", started = 1))
            },
            EntryCase("another start", true) { register(Samples.record("t1", started = 2)) },
            EntryCase("another start after the entry was removed", true) {
                store.remove("targets/t1")
                loop.advance(3_000)
                register(Samples.record("t1", started = 2))
            },
        )
    }
}
