package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.Samples
import dev.bergamotwind.serving.peer.ModelDemand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/**
 * Tests that requested models are loaded, that hot models get enough copies, and that models are not swapped back and
 * forth.
 */
internal class SwapPlannerSpec {
    data class Case(
        val name: String,
        val engines: List<EngineSnapshot>,
        val demand: Map<String, ModelDemand>,
        val expected: Set<String>,
        val storeLoads: Int = 2,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `plans the expected swaps for`(case: Case) {
        val planner = SwapPlanner(Samples.profile("m1", "m2", "m3", "m4", "m5", "m6"))
        val swaps = planner.plan(case.engines, case.demand.mapKeys { ModelId(it.key) }, case.storeLoads)
        val lines = swaps.map { "${it.target}: -${it.modelsToUnload.joinToString("-")} +${it.modelToLoad}" }
        assertEquals(case.expected, lines.toSet())
    }

    @Test
    fun `a rarely used model with waiting requests is loaded although a hot one needs more copies`() {
        val planner = SwapPlanner(Samples.profile("m1", "m2", "m3", "m4", "m5", "m6"))
        val engines = listOf(
            engine("e1", "m1", "m2", onDisk = setOf("m1", "m2")),
            engine("e2", "m1", "m3", availableInMillis = null),
        )
        val demand = mapOf(
            ModelId("m1") to ModelDemand(0, 2_500),
            ModelId("m2") to ModelDemand(0, 60),
            ModelId("m4") to ModelDemand(1, 10),
        )
        assertEquals(listOf(ModelId("m4")), planner.plan(engines, demand, 2).map { it.modelToLoad })
    }

    companion object {
        private fun engine(
            name: String,
            vararg models: String,
            availableInMillis: Long? = 0,
            isReachable: Boolean = true,
            onDisk: Set<String> = emptySet(),
            recentlyLoaded: Set<String> = emptySet(),
        ) = EngineSnapshot(
            target = TargetId(name),
            models = models.map(::ModelId).toSet(),
            incomingModel = null,
            isReachable = isReachable,
            availableInMillis = if (isReachable) availableInMillis else null,
            freeMegabytes = 150_000.0 - 70_000.0 * models.size,
            occupiedMegabytes = models.associate { ModelId(it) to 70_000.0 },
            modelsInMemory = emptySet(),
            modelsOnDisk = onDisk.map(::ModelId).toSet(),
            recentlyLoaded = recentlyLoaded.map(::ModelId).toSet(),
            runningRequests = 0,
        )

        private val hot = ModelDemand(0, 900)
        private val warm = ModelDemand(0, 100)
        private val requested = ModelDemand(2, 20)

        @JvmStatic
        fun cases() = demandCases() + storeCases() + storeGainCases() + lossCases()

        private val allModels = setOf("m1", "m2", "m3", "m4", "m5", "m6")

        private fun storeGainCases() = listOf(
            Case(
                "the last idle engine of four is reserved for models that no engine holds",
                listOf(
                    engine("e1", "m1", "m2", onDisk = allModels),
                    engine("e2", "m1", "m3", availableInMillis = null, onDisk = allModels),
                    engine("e3", "m1", "m3", availableInMillis = null, onDisk = allModels),
                    engine("e4", "m3", "m4", onDisk = setOf("m3", "m4", "m2", "m5")),
                ).map { if (it.target.value == "e1") it.copy(availableInMillis = 30_000) else it },
                mapOf("m1" to ModelDemand(0, 5_000), "m6" to ModelDemand(0, 0)),
                emptySet(),
            ),
            Case(
                "no load from the weight store for a single request while most engines are busy",
                listOf(engine("e1", "m1")) + List(4) { engine("busy-$it", "m2", availableInMillis = null) },
                mapOf("m3" to ModelDemand(1, 5)),
                emptySet(),
            ),
            Case(
                "a load from the weight store for several requests although most engines are busy",
                listOf(engine("e1", "m1")) + List(4) { engine("busy-$it", "m2", availableInMillis = null) },
                mapOf("m3" to ModelDemand(4, 40)),
                setOf("e1: - +m3"),
            ),
        )

        private fun lossCases() = listOf(
            Case(
                "the engine whose disk evicts a model that other engines have too",
                listOf(
                    engine("e1", "m1", "m2", onDisk = setOf("m1", "m2", "m3")),
                    engine("e2", "m1", "m2", onDisk = setOf("m1", "m2", "m4")),
                    engine("e3", "m1", "m5", onDisk = setOf("m1", "m5", "m4"), availableInMillis = null),
                ),
                mapOf("m6" to requested),
                setOf("e2: -m1 +m6"),
            ),
            Case(
                "an idle model is unloaded rather than a redundant copy with running streams",
                listOf(
                    engine("e1", "m1", "m2", onDisk = setOf("m1", "m2", "m3")),
                    engine("e2", "m1", "m4", availableInMillis = null),
                    engine("e3", "m1", "m5", availableInMillis = null),
                ),
                mapOf("m1" to ModelDemand(0, 200), "m3" to requested),
                setOf("e1: -m2 +m3"),
            ),
            Case(
                "the only copy is kept while another one is being loaded",
                listOf(
                    engine("e1", "m1", "m2", onDisk = setOf("m1", "m2", "m3")),
                    engine("e2", "m4", "m5", availableInMillis = null).copy(incomingModel = ModelId("m1")),
                ),
                mapOf("m1" to ModelDemand(0, 200), "m2" to ModelDemand(0, 150), "m3" to ModelDemand(1, 10)),
                emptySet(),
            ),
            Case(
                "demand moves to another model: its only copy is kept, although a hotter model wants a further copy",
                listOf(engine("e1", "m1", "m3", onDisk = allModels, recentlyLoaded = setOf("m3"))) +
                    List(3) { engine("busy-$it", "m2", availableInMillis = null) },
                mapOf("m1" to ModelDemand(0, 2_000), "m2" to ModelDemand(0, 4_700), "m3" to ModelDemand(0, 900)),
                emptySet(),
            ),
            Case(
                "a second copy of the only model in demand, although one can handle its work",
                listOf(engine("e1", "m1"), engine("e2", "m2", onDisk = allModels)),
                mapOf("m1" to ModelDemand(0, 400)),
                setOf("e2: - +m1"),
            ),
        )

        private fun demandCases() = listOf(
            Case("no demand", listOf(engine("e1", "m1", "m2")), emptyMap(), emptySet()),
            Case(
                "free memory is used for a requested model",
                listOf(engine("e1", "m1")),
                mapOf("m2" to requested),
                setOf("e1: - +m2"),
            ),
            Case(
                "the idle model is unloaded, not the busy one",
                listOf(engine("e1", "m1", "m2")),
                mapOf("m1" to hot, "m3" to requested),
                setOf("e1: -m2 +m3"),
            ),
            Case(
                "the engine that has a copy on its disk",
                listOf(engine("e1", "m1", "m2"), engine("e2", "m1", "m4", onDisk = setOf("m3"))),
                mapOf("m3" to requested),
                setOf("e2: -m1 +m3"),
            ),
            Case(
                "a second copy of a hot model before a rare one when one engine is free",
                listOf(
                    engine("e1", "m1", "m2", availableInMillis = 30_000),
                    engine("e2", "m3", "m4", onDisk = setOf("m1", "m5")),
                ),
                mapOf("m1" to ModelDemand(0, 1_500), "m5" to ModelDemand(1, 5)),
                setOf("e2: -m3 +m1"),
            ),
        )

        private fun storeCases() = listOf(
            Case(
                "a model whose only engine is unreachable is loaded elsewhere",
                listOf(engine("e1", "m1", isReachable = false), engine("e2", "m2")),
                mapOf("m1" to requested),
                setOf("e2: - +m1"),
            ),
            Case(
                "no load from the weight store beyond its rate",
                listOf(engine("e1", "m1")),
                mapOf("m2" to requested),
                emptySet(),
                storeLoads = 0,
            ),
            Case(
                "a busy engine that has a copy on its disk before a load from the weight store",
                listOf(engine("e1", "m1", onDisk = setOf("m2"), availableInMillis = 1_500), engine("e2", "m3")),
                mapOf("m2" to requested),
                emptySet(),
            ),
            Case(
                "the weight store when the engine with a copy is busy for longer",
                listOf(engine("e1", "m1", onDisk = setOf("m2"), availableInMillis = 9_000), engine("e2", "m3")),
                mapOf("m2" to requested),
                setOf("e2: - +m2"),
            ),
            Case(
                "a last copy that only the weight store has too is kept",
                listOf(engine("e1", "m1", "m2", onDisk = setOf("m1"))),
                mapOf("m3" to ModelDemand(0, 40)),
                setOf("e1: -m1 +m3"),
            ),
            Case(
                "a load of local weights is not limited by the rate",
                listOf(engine("e1", "m1", onDisk = setOf("m2"))),
                mapOf("m2" to requested),
                setOf("e1: - +m2"),
                storeLoads = 0,
            ),
            Case(
                "models with similar demand are not swapped",
                listOf(engine("e1", "m1", "m2")),
                mapOf("m1" to warm, "m2" to warm, "m3" to ModelDemand(0, 110)),
                emptySet(),
            ),
            Case(
                "a recently loaded model that is in use is kept",
                listOf(engine("e1", "m1", "m2", recentlyLoaded = setOf("m1", "m2"))),
                mapOf("m1" to ModelDemand(0, 10), "m2" to ModelDemand(0, 10), "m3" to hot),
                emptySet(),
            ),
        )
    }
}
