package dev.bergamotwind.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.call.Call
import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.peer.PeerMember
import dev.bergamotwind.serving.store.StoreFailure
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.targets.TargetLifecycle
import dev.bergamotwind.serving.targets.TargetRecord
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/**
 * Tests the path of a request: what is executed, how often, and what the caller is told, for every way an attempt can
 * end.
 */
@OptIn(ExperimentalSerializationApi::class)
class ServingVmSpec {
    /** A VM with an in-memory store, targets that the test answers, and a manual clock. */
    private class World(private val configuration: ServedConfiguration?, records: List<TargetRecord>) {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val targets = FakeTargets()
        val orders = FakeOrders()
        val configurations = HashMap<String, ServedConfiguration>()
        val records = HashMap<String, TargetRecord>()
        var idleClosed = 0
        val decoder = object : StoreDecoder {
            override fun configuration(item: StoreItem): Either<String, ServedConfiguration> =
                configurations[item.value.decodeToString()]?.right() ?: "unknown".left()

            override fun target(item: StoreItem): Either<String, TargetRecord> =
                this@World.records[item.value.decodeToString()]?.right() ?: "unknown".left()

            override fun targetId(key: String) = TargetId(key.removePrefix("targets/"))
        }
        val vm = ServingVm(
            Samples.settings(),
            ServingPorts(
                loop = loop,
                store = store,
                layout = StoreLayout("", "configuration", "targets/"),
                decoder = decoder,
                transport = targets,
                orders = orders,
                peers = { _, _ -> },
                refusalHeaders = { _, _ -> emptyList() },
                callers = { idleClosed++ },
                recorder = EventRecorder.None,
            ),
            Random(1),
        )

        init {
            configuration?.let(::configure)
            records.forEach(::register)
            vm.start()
            loop.advance(200)
        }

        fun configure(configuration: ServedConfiguration) {
            configurations["${configuration.version}"] = configuration
            store.put("configuration", "${configuration.version}".toByteArray())
        }

        fun register(record: TargetRecord) {
            val name = "${record.id}-${records.size}"
            records[name] = record
            store.put("targets/${record.id}", name.toByteArray())
        }

        fun serve(call: Call = Samples.call()) = FakeExchange().also { vm.serve(call, it) }
    }

    data class EndingCase(
        val name: String,
        val kind: RouteKind,
        val isResumable: Boolean,
        val end: (FakeTargets.Sent) -> Unit,
        val status: Int?,
        val sends: Int,
    ) {
        override fun toString() = "$kind${if (isResumable) " resumable" else ""}: $name"
    }

    @ParameterizedTest
    @MethodSource("endings")
    fun `ends truthfully when the only attempts end by`(case: EndingCase) {
        val route = Samples.route(case.kind, isResumable = case.isResumable)
        val world =
            World(
                Samples.configuration(route),
                listOf(Samples.record("t1"), Samples.record("t2"), Samples.record("t3")),
            )
        val exchange = world.serve()
        var ended = 0
        while (ended < world.targets.sent.size) case.end(world.targets.sent[ended++])
        assertEquals(case.status, exchange.status)
        assertEquals(case.sends, world.targets.sent.size)
        assertEquals(world.targets.sent.size, world.targets.sent.map { it.target.id }.distinct().size)
    }

    @Test
    fun `a silent target ends a call that must not be repeated at its deadline, as possibly run`() {
        val world = World(Samples.configuration(Samples.route(RouteKind.NON_IDEMPOTENT)), listOf(Samples.record("t1")))
        val exchange = world.serve(Samples.call(deadlineMillis = 1_000))
        world.loop.advance(1_100)
        assertEquals(504, exchange.status)
        assertEquals(1, world.targets.sent.size)
        assertTrue(world.targets.sent[0].isCancelled)
    }

    @Test
    fun `a stream goes on at another target after its last whole event`() {
        val route = Samples.route(RouteKind.STREAMING, isResumable = true)
        val world = World(Samples.configuration(route), listOf(Samples.record("t1"), Samples.record("t2")))
        val exchange = world.serve()
        val first = world.targets.sent[0]
        first.head(200)
        first.event(1)
        first.event(2)
        first.listener.bytes("id: 3\nda".toByteArray())
        first.listener.broken("reset")
        val second = world.targets.sent[1]
        assertEquals(2L, second.request.lastEventId)
        second.head(200)
        second.event(2)
        second.event(3)
        second.listener.complete()
        assertEquals((1..3).joinToString("") { "id: $it\ndata: token$it\n\n" }, exchange.body)
        assertTrue(exchange.isComplete)
    }

    @Test
    fun `a stream whose resumption is answered by a failure is broken off`() {
        val route = Samples.route(RouteKind.STREAMING, isResumable = true)
        val world = World(Samples.configuration(route), listOf(Samples.record("t1"), Samples.record("t2")))
        val exchange = world.serve()
        world.targets.sent[0].head(200)
        world.targets.sent[0].event(1)
        world.targets.sent[0].listener.broken("reset")
        world.targets.sent[1].answer(404)
        assertTrue(exchange.isAborted)
        assertFalse(exchange.isComplete)
    }

    @Test
    fun `a stream that cannot be resumed is broken off, never ended as complete`() {
        val route = Samples.route(RouteKind.STREAMING)
        val world = World(Samples.configuration(route), listOf(Samples.record("t1"), Samples.record("t2")))
        val exchange = world.serve()
        world.targets.sent[0].head(200)
        world.targets.sent[0].event(1)
        world.targets.sent[0].listener.broken("reset")
        assertTrue(exchange.isAborted)
        assertFalse(exchange.isComplete)
    }

    @Test
    fun `the only target is not given up for its silence, another one is asked where there is one`() {
        for (names in listOf(listOf("t1"), listOf("t1", "t2"))) {
            val route = Samples.route(RouteKind.IDEMPOTENT)
            val world = World(Samples.configuration(route), names.map { Samples.record(it) })
            val exchange = world.serve()
            world.loop.advance(2_000)
            assertEquals(names.size, world.targets.sent.size)
            assertEquals(names.size > 1, world.targets.sent[0].isCancelled)
            world.targets.sent.last().answer(200)
            assertEquals(200, exchange.status)
        }
    }

    data class PaceCase(val name: String, val bytes: (Int) -> String, val everyMillis: Long, val sends: Int) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("paces")
    fun `a stream is given up when it stalls, and not when it is slow`(case: PaceCase) {
        val route = Samples.route(RouteKind.STREAMING, isResumable = true, timeoutMillis = 60_000)
        val world = World(Samples.configuration(route), listOf(Samples.record("t1"), Samples.record("t2")))
        world.serve(Samples.call(deadlineMillis = 60_000))
        val first = world.targets.sent[0]
        first.head(200)
        first.event(1)
        repeat(8) { number ->
            world.loop.advance(case.everyMillis)
            first.listener.bytes(case.bytes(number).toByteArray())
        }
        assertEquals(case.sends, world.targets.sent.size)
        assertEquals(case.sends > 1, first.isCancelled)
    }

    @ParameterizedTest
    @ValueSource(ints = [0, 50])
    fun `a statement that a request was not run counts although its body has no end`(everyMillis: Int) {
        val world = World(
            Samples.configuration(Samples.route(RouteKind.NON_IDEMPOTENT)),
            listOf(Samples.record("t1"), Samples.record("t2")),
        )
        world.serve()
        val first = world.targets.sent[0]
        first.head(503, notRun = true)
        repeat(10) {
            if (everyMillis > 0 && !first.isCancelled) first.listener.bytes(ByteArray(1_000))
            world.loop.advance(50)
        }
        assertTrue(first.isCancelled)
        assertEquals(2, world.targets.sent.size)
    }

    @Test
    fun `an item that cannot be handled does not keep later changes from a VM`() {
        val route = Samples.route(RouteKind.IDEMPOTENT)
        val world = World(Samples.configuration(route), listOf(Samples.record("t1")))
        val member = PeerMember(VmId("vm-2"), "127.0.0.1", 99_999, Samples.domain, 1)
        world.store.put(MEMBER_PREFIX + "vm-2", Cbor.encodeToByteArray(PeerMember.serializer(), member))
        world.loop.advance(50)
        world.configure(Samples.configuration(route, version = 2, teams = listOf(Samples.team(keys = setOf("other")))))
        world.loop.advance(50)
        assertEquals(401, world.serve().status)
    }

    @Test
    fun `an unexpected error while orders are planned leaves a VM serving, and able to stop`() {
        val route = Samples.route(RouteKind.STREAMING, Samples.engines)
        val world = World(Samples.configuration(route), emptyList())
        var asked = 0
        world.orders.onReport = {
            asked++
            error("planned fault")
        }
        world.loop.advance(2_000)
        world.register(Samples.record("e1", Samples.engines, mapOf("m1" to emptySet())))
        world.loop.advance(5_000)
        assertTrue(asked > 0)
        var ended = false
        world.vm.stop { ended = true }
        world.loop.advance(8_000)
        assertTrue(ended)
    }

    @Test
    fun `the target stops work when the caller has left`() {
        val world = World(Samples.configuration(Samples.route(RouteKind.IDEMPOTENT)), listOf(Samples.record("t1")))
        val exchange = world.serve()
        exchange.onGone?.invoke()
        assertTrue(world.targets.sent[0].isCancelled)
        assertEquals(0, world.vm.activeRequests)
    }

    @Test
    fun `a slow reader pauses the target and resumes it`() {
        val route = Samples.route(RouteKind.STREAMING, isResumable = true)
        val world = World(Samples.configuration(route), listOf(Samples.record("t1")))
        val exchange = world.serve()
        val sent = world.targets.sent[0]
        sent.head(200)
        exchange.isWritable = false
        sent.event(1)
        assertTrue(sent.isPaused)
        exchange.isWritable = true
        exchange.onWritable?.invoke()
        assertFalse(sent.isPaused)
    }

    @Test
    fun `a VM without a configuration refuses as unavailable`() {
        val world = World(null, listOf(Samples.record("t1")))
        assertFalse(world.vm.isReady)
        assertEquals(503, world.serve().status)
    }

    @Test
    fun `a configuration never goes back, and a removed key stops working`() {
        val route = Samples.route(RouteKind.IDEMPOTENT)
        val world = World(Samples.configuration(route, version = 5), listOf(Samples.record("t1")))
        assertEquals(null, world.serve().status)
        world.configure(Samples.configuration(route, version = 7, teams = listOf(Samples.team(keys = setOf("other")))))
        world.loop.advance(50)
        assertEquals(401, world.serve().status)
        world.configure(Samples.configuration(route, version = 6))
        world.loop.advance(50)
        assertEquals(401, world.serve().status)
    }

    @Test
    fun `a change that a watch has missed is read when the history is gone`() {
        val route = Samples.route(RouteKind.IDEMPOTENT)
        val world = World(Samples.configuration(route), listOf(Samples.record("t1")))
        world.store.failure = StoreFailure.REFUSED
        world.store.cutWatches()
        world.loop.advance(500)
        world.configure(Samples.configuration(route, version = 2, teams = listOf(Samples.team(keys = setOf("other")))))
        world.store.forgetHistory()
        world.store.failure = null
        world.loop.advance(1_500)
        assertEquals(401, world.serve().status)
    }

    @Test
    fun `calls to the store stay few while it is away and on its return`() {
        val world = World(Samples.configuration(Samples.route(RouteKind.IDEMPOTENT)), emptyList())
        val before = world.store.calls
        world.loop.advance(10_000)
        val calm = world.store.calls - before
        world.store.failure = StoreFailure.REFUSED
        world.store.cutWatches()
        world.loop.advance(10_000)
        val away = world.store.calls - before - calm
        assertTrue(calm <= 16) { "$calm calls in ten calm seconds" }
        assertTrue(away <= 45) { "$away calls in ten seconds without the store" }
    }

    @Test
    fun `a draining target gets no request, and one that is gone does not come back`() {
        val route = Samples.route(RouteKind.IDEMPOTENT)
        val world = World(Samples.configuration(route), listOf(Samples.record("t1")))
        world.register(Samples.record("t1", lifecycle = TargetLifecycle.DRAINING))
        world.loop.advance(50)
        assertEquals(503, world.serve().status)
        world.store.remove("targets/t1")
        world.loop.advance(50)
        assertEquals(503, world.serve().status)
        assertEquals(0, world.targets.sent.size)
    }

    @Test
    fun `requests wait for a model that is being loaded and are served then`() {
        val route = Samples.route(RouteKind.STREAMING, Samples.engines, isResumable = true)
        val engine = Samples.record("e1", Samples.engines, mapOf("m2" to emptySet()))
            .copy(modelsOnDisk = setOf(ModelId("m1")))
        val world = World(Samples.configuration(route), listOf(engine))
        val exchange = world.serve(Samples.call(work = Samples.work("m1"), deadlineMillis = 4_900))
        world.loop.advance(1_000)
        assertEquals(null, exchange.status)
        world.register(Samples.record("e1", Samples.engines, mapOf("m2" to emptySet(), "m1" to emptySet())))
        world.loop.advance(300)
        assertEquals(1, world.targets.sent.size) {
            "status ${exchange.status} ${exchange.body}, orders ${world.orders.given}"
        }
    }

    @Test
    fun `a request that no load can serve in time is refused at once`() {
        val route = Samples.route(RouteKind.STREAMING, Samples.engines, isResumable = true)
        val world =
            World(
                Samples.configuration(route),
                listOf(Samples.record("e1", Samples.engines, mapOf("m2" to emptySet()))),
            )
        assertEquals(503, world.serve(Samples.call(work = Samples.work("m1"), deadlineMillis = 800)).status)
    }

    @Test
    fun `a stopping VM cuts no request, refuses waiting ones at its end and closes idle connections`() {
        val world = World(Samples.configuration(Samples.route(RouteKind.NON_IDEMPOTENT)), listOf(Samples.record("t1")))
        val running = world.serve(Samples.call(deadlineMillis = 5_000))
        var ended = false
        world.vm.stop { ended = true }
        assertFalse(world.vm.isReady)
        world.loop.advance(1_000)
        val late = world.serve(Samples.call("r2"))
        world.targets.sent.forEach { it.answer(200) }
        world.loop.advance(2_600)
        assertEquals(200, running.status)
        assertEquals(200, late.status)
        assertTrue(world.idleClosed > 0)
        assertTrue(ended)
        assertEquals(503, world.serve(Samples.call("r3")).status)
    }

    data class SilenceCase(val limitMillis: Long, val refusedWithinMillis: Long)

    @ParameterizedTest
    @MethodSource("silences")
    fun `a stream waits for its model only as long as its caller bears silence`(case: SilenceCase) {
        val route = Samples.route(
            RouteKind.STREAMING,
            Samples.engines,
            timeoutMillis = 15_000,
            silenceLimitMillis = case.limitMillis,
        )
        val other = Samples.record("e1", Samples.engines, mapOf("m2" to emptySet()))
        val world = World(Samples.configuration(route), listOf(other))
        val waiting = world.serve(Samples.call(work = Samples.work("m1"), deadlineMillis = 15_000))
        world.loop.advance(case.refusedWithinMillis)
        assertEquals(503, waiting.status)
    }

    @Test
    fun `a call that waits at a stopping VM gets a final answer before the process ends`() {
        val route = Samples.route(RouteKind.STREAMING, Samples.engines, timeoutMillis = 20_000)
        val world =
            World(
                Samples.configuration(route),
                listOf(Samples.record("e1", Samples.engines, mapOf("m2" to emptySet()))),
            )
        val waiting = world.serve(Samples.call(work = Samples.work("m1"), deadlineMillis = 20_000))
        world.vm.stop {}
        world.loop.advance(7_300)
        assertEquals(503, waiting.status)
    }

    companion object {
        private val once = RouteKind.NON_IDEMPOTENT to false
        private val again = RouteKind.IDEMPOTENT to false
        private val stream = RouteKind.STREAMING to false
        private val resumable = RouteKind.STREAMING to true

        private fun ending(
            name: String,
            end: (FakeTargets.Sent) -> Unit,
            vararg outcomes: Pair<Pair<RouteKind, Boolean>, Pair<Int?, Int>>,
        ) = outcomes.map { (kind, outcome) ->
            EndingCase(name, kind.first, kind.second, end, outcome.first, outcome.second)
        }

        // A pause may last 400 ms, and a silence of four such pauses ends an attempt.
        @JvmStatic
        fun paces() = listOf(
            PaceCase("an event each second", { "id: ${it + 2}\ndata: x\n\n" }, 1_000, 1),
            PaceCase("a byte of an event now and then", { "x" }, 300, 2),
            PaceCase("a comment line now and then", { ": x\n" }, 300, 2),
        )

        // The model is expected in 2.5 seconds: a caller that leaves earlier is refused at once.
        @JvmStatic
        fun silences() = listOf(SilenceCase(2_000, 0), SilenceCase(3_000, 3_000))

        @JvmStatic
        fun endings() = listOf(
            ending("a whole answer", { it.answer(200) }, once to (200 to 1), again to (200 to 1)),
            ending("an own failure that must stay as it is", {
                it.answer(404)
            }, once to (404 to 1), again to (404 to 1)),
            ending("an own error", { it.answer(500) }, once to (500 to 1), again to (500 to 2)),
            ending(
                "no connection",
                { it.listener.notSent("refused") },
                once to (503 to 3),
                again to (503 to 3),
                stream to (503 to 3),
            ),
            ending(
                "a refusal that states it was not run",
                { it.answer(503, notRun = true) },
                once to (503 to 3),
                stream to (503 to 3),
            ),
            ending(
                "a reset before the first byte",
                { it.listener.broken("reset") },
                once to (502 to 1),
                again to (502 to 2),
                stream to (502 to 1),
                resumable to (502 to 2),
            ),
            ending(
                "a reset after the first byte",
                {
                    it.head(200)
                    it.listener.broken("reset")
                },
                once to (502 to 1),
                again to (502 to 2),
            ),
            ending(
                "an answer of another request",
                { it.head(200, isOwn = false) },
                once to (502 to 1),
                again to (502 to 2),
            ),
            ending("a success without a signature", { it.answer(200, isSigned = false) }, once to (502 to 1)),
            ending("a status that promises without a statement", { it.answer(503) }, once to (502 to 1)),
        ).flatten()
    }
}
