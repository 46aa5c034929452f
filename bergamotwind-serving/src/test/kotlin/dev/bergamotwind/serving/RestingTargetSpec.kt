package dev.bergamotwind.serving

import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.targets.TargetStatement
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource

/** Guards against requests to targets that have named a time for which they want none. */
class RestingTargetSpec {
    // Guards against a time that is overlooked in some kind of answer, and one that is not the target's own.
    @ParameterizedTest
    @MethodSource("evidences")
    fun `a target that names a time gets no request before its end`(case: AnswerCase) {
        val models = mapOf("m1" to emptySet<String>())
        val fleet = RequestFleet(1, listOf(Samples.record("t1", case.service, models)), case.kind, case.service)
        val work = Samples.work().takeIf { case.service == Samples.engines }
        fleet.serve(work = work)
        case.answer(fleet)
        val before = fleet.targets.sent.size
        repeat(19) {
            fleet.loop.advance(200)
            fleet.serve(id = "r${2 + it}", work = work)
        }
        if (case.isBelieved) {
            assertEquals(before, fleet.targets.sent.size)
        } else {
            assertTrue(fleet.targets.sent.size > before)
        }
        fleet.loop.advance(300)
        fleet.serve(id = "s1", work = work)
        assertTrue(fleet.targets.sent.size > before)
    }

    // Guards against all callers finding out one by one that a target still wants nothing.
    @Test
    fun `one request goes first after the rest`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1")))
        fleet.rest(4_000)
        fleet.loop.advance(4_000)
        val first = List(5) { fleet.serve(id = "r${2 + it}") }
        assertEquals(2, fleet.targets.sent.size)
        assertEquals(listOf(null, 503, 503, 503, 503), first.map { it.status })
        fleet.targets.sent.last().answer(503, notRun = true, statement = REST)
        assertEquals(503, fleet.serve(id = "s1").status)
        fleet.loop.advance(4_000)
        fleet.serve(id = "t1")
        fleet.targets.sent.last().answer(200)
        repeat(5) { fleet.serve(id = "u$it") }
        assertEquals(8, fleet.targets.sent.size)
    }

    // Guards against a target that one request without an answer takes out for good.
    @Test
    fun `another request follows when the first after the rest stays without an answer`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1")))
        fleet.rest(1_000)
        fleet.loop.advance(1_000)
        repeat(20) {
            fleet.serve(id = "r${2 + it}")
            fleet.loop.advance(50)
        }
        assertEquals(1 + 7, fleet.targets.sent.size)
    }

    // Guards against a rest that ends early: an answer to an earlier request was written before it, or names less.
    @ParameterizedTest
    @ValueSource(longs = [-1, 0, 100])
    fun `an answer to an earlier request does not shorten the rest`(namedMillis: Long) {
        val fleet = RequestFleet(1, listOf(Samples.record("t1")))
        fleet.serve()
        fleet.serve(id = "r2")
        fleet.targets.sent[0].answer(503, notRun = true, statement = REST)
        fleet.loop.advance(50)
        if (namedMillis < 0) {
            fleet.targets.sent[1].answer(200)
        } else {
            fleet.targets.sent[1].answer(503, notRun = true, statement = TargetStatement(restMillis = namedMillis))
        }
        fleet.loop.advance(3_900)
        assertEquals(503, fleet.serve(id = "r3").status)
        fleet.loop.advance(100)
        assertEquals(null, fleet.serve(id = "r4").status)
    }

    // Guards against callers that wait in vain, are told a time at which nothing has changed, or all return at once.
    @Test
    fun `a call is refused at once with a spread time when all targets rest`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1"), Samples.record("t2")))
        repeat(2) { fleet.serve(id = "r$it") }
        fleet.targets.sent[0].answer(503, notRun = true, statement = TargetStatement(restMillis = 9_000))
        fleet.targets.sent[1].answer(503, notRun = true, statement = REST)
        val refused = List(5) { fleet.serve(id = "r${2 + it}") }
        assertEquals(listOf(503), refused.map { it.status }.distinct())
        assertTrue(refused[0].body.startsWith("all targets of service orders have asked for rest"))
        val retryAfter = refused.map { it.headers.single().value.toLong() }
        assertTrue(retryAfter.all { it in 4_000..8_000 }) { "$retryAfter" }
        assertTrue(retryAfter.distinct().size > 1) { "$retryAfter" }
    }

    // Guards against a caller that is told to come back in a moment by the refusal that names the rest itself.
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3])
    fun `the caller whose request was turned away is told the time as well`(targetCount: Int) {
        val fleet = RequestFleet(1, List(targetCount) { Samples.record("t$it") })
        val exchange = fleet.serve()
        repeat(targetCount) { fleet.targets.sent.last().answer(503, notRun = true, statement = REST) }
        assertEquals(targetCount, fleet.targets.sent.size)
        assertEquals(503, exchange.status)
        assertTrue(exchange.headers.single().value.toLong() in 4_000..8_000)
    }

    // Guards against a sound target that is avoided after its rest, as if it had failed.
    @Test
    fun `a target that has rested is used like any other`() {
        val fleet = RequestFleet(1, listOf(Samples.record("t1"), Samples.record("t2")))
        var refusals = 0
        while (refusals < 10) {
            fleet.serve(id = "r${fleet.targets.sent.size}")
            if (fleet.targets.sent.last().target.id.value == "t1") {
                refusals++
                fleet.targets.sent.last().answer(503, notRun = true, statement = REST)
                fleet.targets.sent.last().answer(200)
                fleet.loop.advance(4_000)
            } else {
                fleet.targets.sent.last().answer(200)
            }
        }
        val before = fleet.targets.sent.size
        repeat(40) {
            fleet.serve(id = "s$it")
            fleet.targets.sent.last().answer(200)
        }
        val share = fleet.targets.sent.drop(before).count { it.target.id.value == "t1" }
        assertTrue(share in 10..30) { "$share of 40" }
    }

    // Guards against a value that takes a target out for good, and one that ends the handling of the answer.
    @ParameterizedTest
    @ValueSource(longs = [Long.MAX_VALUE, 1_000_000_000_000, 600_001])
    fun `no time is longer than the longest lease`(millis: Long) {
        val fleet = RequestFleet(1, listOf(Samples.record("t1")))
        fleet.rest(millis)
        fleet.loop.advance(599_900)
        assertEquals(503, fleet.serve(id = "r2").status)
        fleet.loop.advance(200)
        assertEquals(null, fleet.serve(id = "r3").status)
    }

    // Guards against a rest that a new entry ends, and one that outlives the start of the target that asked for it.
    @ParameterizedTest
    @ValueSource(longs = [1, 2])
    fun `a rest ends early only when the target starts again`(started: Long) {
        val fleet = RequestFleet(1, listOf(Samples.record("t1", started = 1)))
        fleet.rest(9_000)
        fleet.store.remove("targets/t1")
        fleet.loop.advance(3_000)
        fleet.register(Samples.record("t1", started = started))
        fleet.loop.advance(50)
        assertEquals(503.takeIf { started == 1L }, fleet.serve(id = "r2").status)
    }

    // Guards against orders and calls for reports to an engine that has asked for rest.
    @Test
    fun `a resting engine gets no orders`() {
        val held = mapOf("m1" to emptySet<String>())
        val record = Samples.record("e1", Samples.engines, held)
        val fleet = RequestFleet(1, listOf(record), RouteKind.STREAMING, Samples.engines)
        fleet.loop.advance(6_000)
        var reports = 0
        fleet.orders.onReport = {
            reports++
            null
        }
        fleet.orders.onStatement?.invoke(record, REST, fleet.loop.nowMillis())
        val before = fleet.orders.sentOrders.size
        repeat(13) {
            fleet.serve(id = "r$it", work = Samples.work("m2"))
            fleet.loop.advance(300)
        }
        assertEquals(before to 0, fleet.orders.sentOrders.size to reports)
        repeat(10) {
            fleet.serve(id = "s$it", work = Samples.work("m2"))
            fleet.loop.advance(300)
        }
        assertTrue(fleet.orders.sentOrders.size + reports > before)
    }

    private fun RequestFleet.rest(millis: Long) {
        serve()
        targets.sent.single().answer(503, notRun = true, statement = TargetStatement(restMillis = millis))
    }

    companion object {
        private val REST = TargetStatement(restMillis = 4_000)

        @JvmStatic
        fun evidences() = listOf(
            AnswerCase("a refusal", true) { it.targets.sent.last().answer(503, notRun = true, statement = REST) },
            AnswerCase("a refusal that may have run", true) { it.targets.sent.last().answer(503, statement = REST) },
            AnswerCase("the refusal of a stream", true, RouteKind.STREAMING) {
                it.targets.sent.last().answer(503, notRun = true, statement = REST)
            },
            AnswerCase("the refusal of an engine", true, RouteKind.STREAMING, Samples.engines) {
                it.targets.sent.last().answer(503, notRun = true, statement = REST)
            },
            AnswerCase("a refusal whose body never ends", true) {
                it.targets.sent.last().head(503, notRun = true, statement = REST)
            },
            AnswerCase("a refusal of an order or a call for a report", true, RouteKind.STREAMING, Samples.engines) {
                it.targets.sent.last().head(200)
                it.orders.onStatement?.invoke(it.targets.sent.last().target, REST, it.loop.nowMillis())
            },
            AnswerCase("a refusal without a time", false) { it.targets.sent.last().answer(503, notRun = true) },
            AnswerCase("a refusal in answer to another request", false) {
                it.targets.sent.last().head(503, isOwn = false, statement = REST)
            },
        )
    }
}
