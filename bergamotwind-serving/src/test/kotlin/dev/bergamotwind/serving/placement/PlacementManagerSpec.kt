package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.FakeOrders
import dev.bergamotwind.serving.ManualLoop
import dev.bergamotwind.serving.Samples
import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.peer.AdapterUse
import dev.bergamotwind.serving.peer.ExpectedModel
import dev.bergamotwind.serving.peer.ModelDemand
import dev.bergamotwind.serving.targets.TargetRegistry
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/** Tests that orders never overfill an engine, whatever is rejected, lost, late or still being unloaded. */
class PlacementManagerSpec {
    /** An engine that executes orders, loses answers, executes some orders late, and records when it is overfilled. */
    private class Engine(private val loop: ManualLoop, private val random: Random, private val lossShare: Double) {
        val models = HashMap<ModelId, MutableSet<AdapterId>>()
        private val unloadingAdapters = HashSet<Pair<ModelId, AdapterId>>()
        private var acceptedOrders = 0L
        private var busyUntilMillis = 0L
        var overfillReport: String? = null
        var onChange: () -> Unit = {}

        fun report() = TargetReport(
            models.mapValues {
                it.value + unloadingAdaptersOf(it.key)
            },
            loop.nowMillis() < busyUntilMillis,
            acceptedOrders,
        )

        private fun unloadingAdaptersOf(model: ModelId) = unloadingAdapters.filter {
            it.first == model
        }.map { it.second }

        /**
         * Restarts under the same id: empty, with its count of orders at zero, while late orders are still on their
         * way.
         */
        fun restart() {
            models.clear()
            unloadingAdapters.clear()
            acceptedOrders = 0
            busyUntilMillis = 0
        }

        fun order(order: TargetOrder, reply: (OrderOutcome) -> Unit) {
            if (random.nextDouble() >= lossShare) {
                reply(apply(order))
                return
            }
            // Unanswered orders are executed later, or never.
            if (random.nextBoolean()) loop.schedule(random.nextLong(2_000, 12_000)) { apply(order) }
            loop.schedule(500) { reply(OrderOutcome.UNKNOWN) }
        }

        private fun apply(order: TargetOrder): OrderOutcome {
            val adapter = order.adapter
            return when {
                order.acceptedOrders != acceptedOrders || loop.nowMillis() < busyUntilMillis -> OrderOutcome.CONFLICT

                adapter == null -> applyModel(order)

                order.model !in models -> OrderOutcome.WRONG_TARGET

                order.kind == OrderKind.LOAD -> {
                    acceptedOrders++
                    models.getValue(order.model) += adapter
                    checkCapacity()
                    OrderOutcome.ACCEPTED
                }

                else -> {
                    acceptedOrders++
                    models.getValue(order.model) -= adapter
                    if (random.nextBoolean()) return OrderOutcome.DONE
                    unloadingAdapters += order.model to adapter
                    loop.schedule(700) { unloadingAdapters -= order.model to adapter }
                    OrderOutcome.ACCEPTED
                }
            }
        }

        private fun applyModel(order: TargetOrder): OrderOutcome {
            acceptedOrders++
            busyUntilMillis = loop.nowMillis() + 600
            if (order.kind == OrderKind.LOAD) models[order.model] = mutableSetOf()
            checkCapacity()
            loop.schedule(600) {
                if (order.kind == OrderKind.UNLOAD) models -= order.model
                onChange()
            }
            return OrderOutcome.ACCEPTED
        }

        private fun checkCapacity() {
            val adapters = models.values.sumOf { it.size } + unloadingAdapters.size
            if (adapters > ADAPTER_SLOTS) overfillReport = "$adapters adapters"
            if (models.size > 2) overfillReport = "${models.size} models"
        }
    }

    /** An engine that publishes its state and may restart under its id, with the registry and orders of its holders. */
    private class EngineLife(seed: Int, lossShare: Double) {
        val loop = ManualLoop()
        val random = Random(seed)
        val engine = Engine(loop, random, lossShare)
        val book = TargetRegistry(loop)
        val orders = FakeOrders().apply {
            onReport = { engine.report() }
            onOrder = { _, order, reply -> engine.order(order, reply) }
        }
        private var startNumber = 1L

        init {
            engine.onChange = ::publish
            publish()
        }

        fun publish() {
            val record = Samples.record("e1", Samples.engines, started = startNumber).copy(
                models = engine.models.mapValues { it.value.toSet() },
                modelsOnDisk = listOf("m1", "m2", "m3").mapTo(HashSet(), ::ModelId),
            )
            book.apply(record)
        }

        fun restart() {
            startNumber++
            engine.restart()
            publish()
        }
    }

    @Test
    fun `never overfills an engine that loses answers, executes orders late and unloads adapters slowly`() {
        for (seed in 1..40) {
            val loop = ManualLoop()
            val random = Random(seed)
            val engine = Engine(loop, random, lossShare = 0.35)
            val book = TargetRegistry(loop)
            fun record() = Samples.record("e1", Samples.engines).copy(
                models = engine.models.mapValues {
                    it.value.toSet()
                },
            )
            engine.models[ModelId("m1")] = mutableSetOf()
            engine.onChange = { book.apply(record()) }
            book.apply(record())
            val orders = FakeOrders().apply {
                onReport = { engine.report() }
                onOrder = { _, order, reply -> engine.order(order, reply) }
            }
            var term: Long? = 5
            val manager = manager(loop, book, orders) { term }
            // Waiting requests want adapters again as soon as they see a change, even in the middle of a decision.
            book.onChange = { loop.schedule(0) { manager.requestAdapter(randomUse(random)) } }
            val configuration = Samples.configuration(Samples.route(RouteKind.STREAMING, Samples.engines))
            repeat(400) { round ->
                manager.requestAdapter(randomUse(random))
                if (round % 90 == 89) term = if (term == null) round.toLong() else null
                val demand = ModelId("m${random.nextInt(1, 4)}") to ModelDemand(2, 200)
                manager.tick(configuration, mapOf(demand))
                loop.advance(200)
            }
            assertEquals(null, engine.overfillReport) { "seed $seed" }
            assertTrue(orders.sentOrders.size > 15) { "only ${orders.sentOrders.size} orders with seed $seed" }
        }
    }

    @Test
    fun `never overfills an engine that restarts under its id while orders are unanswered`() {
        for (seed in 1..200) {
            val life = EngineLife(seed, lossShare = 0.5)
            val manager = manager(life.loop, life.book, life.orders)
            val configuration = Samples.configuration(Samples.route(RouteKind.STREAMING, Samples.engines))
            repeat(300) { round ->
                if (round % 25 == 24) {
                    life.restart()
                }
                manager.requestAdapter(randomUse(life.random))
                val demand = ModelId("m${life.random.nextInt(1, 4)}") to ModelDemand(2, 200)
                manager.tick(configuration, mapOf(demand))
                life.loop.advance(200)
            }
            assertEquals(null, life.engine.overfillReport) { "seed $seed" }
            val sent = life.orders.sentOrders.size
            assertTrue(sent > 30) { "only $sent orders with seed $seed" }
        }
    }

    data class EngineLifeCase(val name: String, val restarts: Boolean, val lapses: Boolean, val newHolders: Boolean) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("engineLives")
    fun `never overfills an engine in a hundred thousand steps with`(case: EngineLifeCase) =
        assertNeverOverfilled(case, steps = 100_000)

    // A new holder does not know which orders its predecessor sent without an answer.
    @Test
    @Tag("known-red")
    fun `never overfills an engine that restarts under its id while the holder changes`() = assertNeverOverfilled(
        EngineLifeCase("restarts and new holders", restarts = true, lapses = false, newHolders = true),
        steps = 100_000,
    )

    private fun assertNeverOverfilled(case: EngineLifeCase, steps: Int) {
        val stepsPerSeed = 400
        for (seed in 1..steps / stepsPerSeed) {
            val life = EngineLife(seed, lossShare = 0.4)
            var term = 1L
            fun holder() = term.let { own -> manager(life.loop, life.book, life.orders) { own.takeIf { it == term } } }
            var manager = holder()
            val configuration = Samples.configuration(Samples.route(RouteKind.STREAMING, Samples.engines))
            repeat(stepsPerSeed) {
                if (case.restarts && life.random.nextInt(25) == 0) {
                    life.restart()
                }
                if (case.lapses && life.random.nextInt(40) == 0) {
                    life.book.remove(TargetId("e1"))
                    life.loop.advance(life.random.nextLong(200, 3_000))
                    life.publish()
                }
                if (case.newHolders && life.random.nextInt(60) == 0) {
                    term++
                    life.loop.advance(HAND_OVER_MILLIS)
                    manager = holder()
                }
                manager.requestAdapter(randomUse(life.random))
                val demand = ModelId("m${life.random.nextInt(1, 4)}") to ModelDemand(2, 200)
                manager.tick(configuration, mapOf(demand))
                life.loop.advance(200)
            }
            assertEquals(null, life.engine.overfillReport) { "seed $seed" }
        }
    }

    @Test
    fun `an adapter whose unload order was lost is unloaded by a later order`() {
        val loop = ManualLoop()
        val book = TargetRegistry(loop)
        val held = (1..ADAPTER_SLOTS).map { "a$it" }.toSet()
        book.apply(Samples.record("e1", Samples.engines, mapOf("m1" to held)))
        var isLost = true
        val orders = FakeOrders().apply {
            onReport = { TargetReport(it.models, false, 0) }
            onOrder = { _, _, reply -> reply(if (isLost) OrderOutcome.UNKNOWN else OrderOutcome.DONE) }
        }
        val manager = manager(loop, book, orders)
        val configuration = Samples.configuration(Samples.route(RouteKind.STREAMING, Samples.engines))
        repeat(20) { round ->
            manager.requestAdapter(AdapterUse(TargetId("e1"), ModelId("m1"), AdapterId("new")))
            manager.tick(configuration, emptyMap())
            if (round == 2) isLost = false
            loop.advance(200)
        }
        assertTrue(orders.sentOrders.any { it.kind == OrderKind.LOAD && it.adapter == AdapterId("new") }) {
            "${orders.sentOrders}"
        }
    }

    @Test
    fun `sends no order to an engine that executes another holder's order`() {
        val loop = ManualLoop()
        val book = TargetRegistry(loop)
        book.apply(Samples.record("e1", Samples.engines, mapOf("m1" to emptySet())))
        var busy = true
        val orders = FakeOrders().apply {
            onReport = {
                // The model that is being loaded appears only when its load is complete.
                val held = listOf("m1", "m2").take(if (busy) 1 else 2).associate {
                    ModelId(it) to emptySet<AdapterId>()
                }
                TargetReport(held, busy, 4)
            }
        }
        val manager = manager(loop, book, orders)
        val configuration = Samples.configuration(Samples.route(RouteKind.STREAMING, Samples.engines))
        repeat(20) {
            manager.tick(configuration, mapOf(ModelId("m3") to ModelDemand(3, 100)))
            loop.advance(200)
        }
        assertEquals(emptyList<TargetOrder>(), orders.sentOrders)
        busy = false
        repeat(20) {
            manager.tick(configuration, mapOf(ModelId("m3") to ModelDemand(3, 100)))
            loop.advance(200)
        }
        assertEquals(OrderKind.UNLOAD, orders.sentOrders.first().kind)
    }

    @Test
    fun `never overfills an engine whose entry in the store is outdated`() {
        val loop = ManualLoop()
        val engine = Engine(loop, Random(1), lossShare = 0.0)
        engine.models[ModelId("m1")] = mutableSetOf()
        val book = TargetRegistry(loop)
        val onDisk = listOf("m1", "m2", "m3").mapTo(HashSet(), ::ModelId)
        // The target cannot reach the store: its entry still says that it holds one model.
        book.apply(Samples.record("e1", Samples.engines, mapOf("m1" to emptySet())).copy(modelsOnDisk = onDisk))
        val orders = FakeOrders().apply {
            onReport = { engine.report() }
            onOrder = { _, order, reply -> engine.order(order, reply) }
        }
        val manager = manager(loop, book, orders)
        val configuration = Samples.configuration(Samples.route(RouteKind.STREAMING, Samples.engines))
        val requested = ModelDemand(3, 100)
        repeat(10) {
            manager.tick(configuration, mapOf(ModelId("m2") to requested))
            loop.advance(200)
        }
        repeat(40) {
            manager.tick(configuration, emptyMap())
            loop.advance(200)
        }
        repeat(10) {
            manager.tick(configuration, mapOf(ModelId("m3") to requested))
            loop.advance(200)
        }
        assertEquals(null, engine.overfillReport)
    }

    @Test
    fun `a swap starts although requests want adapters continuously`() {
        val loop = ManualLoop()
        val book = TargetRegistry(loop)
        val held = mapOf("m1" to emptySet<String>())
        book.apply(Samples.record("e1", Samples.engines, held).copy(modelsOnDisk = setOf(ModelId("m2"))))
        val orders = FakeOrders().apply {
            onOrder = { _, _, reply -> loop.schedule(20) { reply(OrderOutcome.ACCEPTED) } }
        }
        val manager = manager(loop, book, orders)
        val configuration = Samples.configuration(Samples.route(RouteKind.STREAMING, Samples.engines))
        var wantedCount = 0
        repeat(75) { round ->
            repeat(4) {
                manager.requestAdapter(AdapterUse(TargetId("e1"), ModelId("m1"), AdapterId("a${wantedCount++}")))
            }
            if (round % 10 == 0) manager.tick(configuration, mapOf(ModelId("m2") to ModelDemand(3, 100)))
            loop.advance(20)
        }
        assertTrue(orders.sentOrders.any { it.adapter == null && it.model == ModelId("m2") }) { "${orders.sentOrders}" }
    }

    @Test
    fun `a swap that could not start is planned again and does not unload a model that is in use by then`() {
        val loop = ManualLoop()
        val book = TargetRegistry(loop)
        val held = mapOf("m1" to emptySet<String>(), "m2" to emptySet())
        book.apply(Samples.record("e1", Samples.engines, held).copy(modelsOnDisk = setOf(ModelId("m3"))))
        val report = TargetReport(listOf("m1", "m2").associate { ModelId(it) to emptySet() }, false, 0)
        var isAnswering = true
        val orders = FakeOrders().apply {
            onReport = { report.takeIf { isAnswering } }
            onOrder = { _, _, reply -> reply(OrderOutcome.UNKNOWN) }
        }
        val manager = manager(loop, book, orders)
        val configuration = Samples.configuration(Samples.route(RouteKind.STREAMING, Samples.engines))
        manager.tick(configuration, mapOf(ModelId("m2") to ModelDemand(0, 500)))
        loop.advance(200)
        val early = mapOf(ModelId("m2") to ModelDemand(0, 500), ModelId("m3") to ModelDemand(2, 50))
        manager.tick(configuration, early)
        isAnswering = false
        assertEquals(listOf(ModelId("m1")), orders.sentOrders.map { it.model })
        val late = mapOf(ModelId("m1") to ModelDemand(0, 900), ModelId("m2") to ModelDemand(0, 500))
        repeat(10) {
            loop.advance(200)
            manager.tick(configuration, late)
        }
        isAnswering = true
        repeat(10) {
            loop.advance(200)
            manager.tick(configuration, late)
        }
        assertEquals(listOf(ModelId("m1")), orders.sentOrders.map { it.model })
    }

    @Test
    fun `a new holder does not repeat the loads that its predecessor ordered`() {
        val loop = ManualLoop()
        val book = TargetRegistry(loop)
        val names = listOf("e1", "e2", "e3")
        names.forEach { book.apply(Samples.record(it, Samples.engines, mapOf("m1" to emptySet()))) }
        val orders = FakeOrders().apply {
            onReport = { TargetReport(it.models, isBusy = it.id.value == "e1", acceptedOrders = 3) }
        }
        val expectedLoads = ExpectedLoads(loop)
        expectedLoads.replaceAll(listOf(ExpectedModel(ModelId("m2"), 6_000, TargetId("e1"))))
        val manager = manager(loop, book, orders, expectedLoads)
        val configuration = Samples.configuration(Samples.route(RouteKind.STREAMING, Samples.engines))
        repeat(10) {
            manager.tick(configuration, mapOf(ModelId("m2") to ModelDemand(0, 200)))
            loop.advance(200)
        }
        assertEquals(emptyList<TargetOrder>(), orders.sentOrders)
        assertEquals(4_000L, manager.millisUntilLoaded(ModelId("m2")))
    }

    @Test
    fun `every model that is asked for is loaded within a bound although two hot ones want all engines`() {
        val loop = ManualLoop()
        val book = TargetRegistry(loop)
        val engines = (1..4).associate { number ->
            "e$number" to Engine(loop, Random(number), lossShare = 0.0).apply {
                listOf("m1", "m2").forEach { models[ModelId(it)] = mutableSetOf() }
            }
        }
        val onDisk = (1..4).mapTo(HashSet()) { ModelId("m$it") }
        fun record(name: String) = Samples.record(name, Samples.engines).copy(
            models = engines.getValue(name).models.mapValues { it.value.toSet() },
            modelsOnDisk = onDisk,
        )
        engines.forEach { (name, engine) -> engine.onChange = { book.apply(record(name)) } }
        engines.keys.forEach { book.apply(record(it)) }
        val orders = FakeOrders().apply {
            onReport = { engines.getValue(it.id.value).report() }
            onOrder = { target, order, reply -> engines.getValue(target.id.value).order(order, reply) }
        }
        val manager = manager(loop, book, orders)
        val configuration = Samples.configuration(Samples.route(RouteKind.STREAMING, Samples.engines))
        val demand = mapOf("m1" to 4_000, "m2" to 4_000, "m3" to 2).map { (model, work) ->
            ModelId(model) to ModelDemand(0, work)
        }.toMap()
        val size = Samples.model("m3")
        val boundMillis = UNSERVED_LOAD_TIMES * size.storeLoadMillis + BUSY_UNLOAD_MILLIS + size.diskLoadMillis
        // The rare model may give way again to the hot ones once it has served its callers.
        val isLoaded = (1..boundMillis / 200).map {
            manager.tick(configuration, demand)
            loop.advance(200)
            engines.values.any { engine -> ModelId("m3") in engine.models }
        }
        assertTrue(true in isLoaded) { "not loaded within $boundMillis ms" }
        assertTrue(engines.values.all { it.overfillReport == null })
    }

    private fun manager(
        loop: ManualLoop,
        book: TargetRegistry,
        orders: FakeOrders,
        expectedLoads: ExpectedLoads = ExpectedLoads(loop),
        term: () -> Long? = { 9 },
    ) = PlacementManager(loop, book, orders, VmId("vm"), term, { 0L }, expectedLoads, EventRecorder.None)

    private fun randomUse(random: Random) =
        AdapterUse(TargetId("e1"), ModelId("m${random.nextInt(1, 3)}"), AdapterId("a${random.nextInt(20)}"))

    private companion object {
        const val ADAPTER_SLOTS = 8
        const val HAND_OVER_MILLIS = 3_200L

        @JvmStatic
        fun engineLives() = listOf(
            EngineLifeCase("lapsed entries", restarts = false, lapses = true, newHolders = false),
            EngineLifeCase("restarts under one id", restarts = true, lapses = false, newHolders = false),
            EngineLifeCase("new holders", restarts = false, lapses = false, newHolders = true),
            EngineLifeCase("lapsed entries and new holders", restarts = false, lapses = true, newHolders = true),
            EngineLifeCase("restarts and lapsed entries", restarts = true, lapses = true, newHolders = false),
        )
    }
}
