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
    fun `plans for`(case: Case) {
        val planner = SwapPlanner(Samples.profile("m1", "m2", "m3", "m4", "m5", "m6"))
        val swaps = planner.plan(case.engines, case.demand.mapKeys { ModelId(it.key) }, case.storeLoads)
        val lines = swaps.map { "${it.target}: -${it.drop.joinToString("-")} +${it.load}" }
        assertEquals(case.expected, lines.toSet())
    }

    @Test
    fun `a rare model that requests wait for is loaded although a hot one wants more copies`() {
        val planner = SwapPlanner(Samples.profile("m1", "m2", "m3", "m4", "m5", "m6"))
        val engines = listOf(
            engine("e1", "m1", "m2", onDisk = setOf("m1", "m2")),
            engine("e2", "m1", "m3", freeInMillis = null),
        )
        val demand = mapOf(
            ModelId("m1") to ModelDemand(0, 2_500),
            ModelId("m2") to ModelDemand(0, 60),
            ModelId("m4") to ModelDemand(1, 10),
        )
        assertEquals(listOf(ModelId("m4")), planner.plan(engines, demand, 2).map { it.load })
    }

    companion object {
        private fun engine(
            name: String,
            vararg models: String,
            freeInMillis: Long? = 0,
            isReachable: Boolean = true,
            onDisk: Set<String> = emptySet(),
            recent: Set<String> = emptySet(),
        ) = EngineSnapshot(
            target = TargetId(name),
            models = models.map(::ModelId).toSet(),
            coming = null,
            isReachable = isReachable,
            freeInMillis = if (isReachable) freeInMillis else null,
            freeMegabytes = 150_000.0 - 70_000.0 * models.size,
            occupiedMegabytes = models.associate { ModelId(it) to 70_000.0 },
            modelsInMemory = emptySet(),
            modelsOnDisk = onDisk.map(::ModelId).toSet(),
            recent = recent.map(::ModelId).toSet(),
            requests = 0,
        )

        private val hot = ModelDemand(0, 900)
        private val warm = ModelDemand(0, 100)
        private val asked = ModelDemand(2, 20)

        @JvmStatic
        fun cases() = demandCases() + storeCases() + priceCases() + riskCases()

        private val allTwice = setOf("m1", "m2", "m3", "m4", "m5", "m6")

        private fun priceCases() = listOf(
            Case(
                "the last idle engine of four is kept for models that none holds",
                listOf(
                    engine("e1", "m1", "m2", onDisk = allTwice),
                    engine("e2", "m1", "m3", freeInMillis = null, onDisk = allTwice),
                    engine("e3", "m1", "m3", freeInMillis = null, onDisk = allTwice),
                    engine("e4", "m3", "m4", onDisk = setOf("m3", "m4", "m2", "m5")),
                ).map { if (it.target.value == "e1") it.copy(freeInMillis = 30_000) else it },
                mapOf("m1" to ModelDemand(0, 5_000), "m6" to ModelDemand(0, 0)),
                emptySet(),
            ),
            Case(
                "no load from the weight store for a single request while most engines are busy",
                listOf(engine("e1", "m1")) + List(4) { engine("busy-$it", "m2", freeInMillis = null) },
                mapOf("m3" to ModelDemand(1, 5)),
                emptySet(),
            ),
            Case(
                "a load from the weight store for several requests although most engines are busy",
                listOf(engine("e1", "m1")) + List(4) { engine("busy-$it", "m2", freeInMillis = null) },
                mapOf("m3" to ModelDemand(4, 40)),
                setOf("e1: - +m3"),
            ),
        )

        private fun riskCases() = listOf(
            Case(
                "the engine whose disk gives up a model that others have at hand too",
                listOf(
                    engine("e1", "m1", "m2", onDisk = setOf("m1", "m2", "m3")),
                    engine("e2", "m1", "m2", onDisk = setOf("m1", "m2", "m4")),
                    engine("e3", "m1", "m5", onDisk = setOf("m1", "m5", "m4"), freeInMillis = null),
                ),
                mapOf("m6" to asked),
                setOf("e2: -m1 +m6"),
            ),
            Case(
                "a quiet model gives way rather than a spare copy whose streams must end first",
                listOf(
                    engine("e1", "m1", "m2", onDisk = setOf("m1", "m2", "m3")),
                    engine("e2", "m1", "m4", freeInMillis = null),
                    engine("e3", "m1", "m5", freeInMillis = null),
                ),
                mapOf("m1" to ModelDemand(0, 200), "m3" to asked),
                setOf("e1: -m2 +m3"),
            ),
            Case(
                "the only copy stays while another one is still on its way",
                listOf(
                    engine("e1", "m1", "m2", onDisk = setOf("m1", "m2", "m3")),
                    engine("e2", "m4", "m5", freeInMillis = null).copy(coming = ModelId("m1")),
                ),
                mapOf("m1" to ModelDemand(0, 200), "m2" to ModelDemand(0, 150), "m3" to ModelDemand(1, 10)),
                emptySet(),
            ),
            Case(
                "a second copy of the model that all work is for, although one is enough for it",
                listOf(engine("e1", "m1"), engine("e2", "m2", onDisk = allTwice)),
                mapOf("m1" to ModelDemand(0, 400)),
                setOf("e2: - +m1"),
            ),
        )

        private fun demandCases() = listOf(
            Case("no demand", listOf(engine("e1", "m1", "m2")), emptyMap(), emptySet()),
            Case(
                "free memory for a model that is asked for",
                listOf(engine("e1", "m1")),
                mapOf("m2" to asked),
                setOf("e1: - +m2"),
            ),
            Case(
                "the quiet model gives way, not the busy one",
                listOf(engine("e1", "m1", "m2")),
                mapOf("m1" to hot, "m3" to asked),
                setOf("e1: -m2 +m3"),
            ),
            Case(
                "the engine that has a copy on its disk",
                listOf(engine("e1", "m1", "m2"), engine("e2", "m1", "m4", onDisk = setOf("m3"))),
                mapOf("m3" to asked),
                setOf("e2: -m1 +m3"),
            ),
            Case(
                "a second copy of a hot model before a rare one when one engine is free",
                listOf(
                    engine("e1", "m1", "m2", freeInMillis = 30_000),
                    engine("e2", "m3", "m4", onDisk = setOf("m1", "m5")),
                ),
                mapOf("m1" to ModelDemand(0, 1_500), "m5" to ModelDemand(1, 5)),
                setOf("e2: -m3 +m1"),
            ),
        )

        private fun storeCases() = listOf(
            Case(
                "a model whose only engine cannot be reached",
                listOf(engine("e1", "m1", isReachable = false), engine("e2", "m2")),
                mapOf("m1" to asked),
                setOf("e2: - +m1"),
            ),
            Case(
                "no load from the weight store beyond its rate",
                listOf(engine("e1", "m1")),
                mapOf("m2" to asked),
                emptySet(),
                storeLoads = 0,
            ),
            Case(
                "a busy engine that has a copy on its disk before a load from the weight store",
                listOf(engine("e1", "m1", onDisk = setOf("m2"), freeInMillis = 1_500), engine("e2", "m3")),
                mapOf("m2" to asked),
                emptySet(),
            ),
            Case(
                "the weight store when the engine with a copy is busy for longer",
                listOf(engine("e1", "m1", onDisk = setOf("m2"), freeInMillis = 9_000), engine("e2", "m3")),
                mapOf("m2" to asked),
                setOf("e2: - +m2"),
            ),
            Case(
                "a last copy stays that only the weight store could bring back",
                listOf(engine("e1", "m1", "m2", onDisk = setOf("m1"))),
                mapOf("m3" to ModelDemand(0, 40)),
                setOf("e1: -m1 +m3"),
            ),
            Case(
                "a copy at hand needs no rate",
                listOf(engine("e1", "m1", onDisk = setOf("m2"))),
                mapOf("m2" to asked),
                setOf("e1: - +m2"),
                storeLoads = 0,
            ),
            Case(
                "no exchange of models with like demand",
                listOf(engine("e1", "m1", "m2")),
                mapOf("m1" to warm, "m2" to warm, "m3" to ModelDemand(0, 110)),
                emptySet(),
            ),
            Case(
                "a model that has just come and has work stays",
                listOf(engine("e1", "m1", "m2", recent = setOf("m1", "m2"))),
                mapOf("m1" to ModelDemand(0, 10), "m2" to ModelDemand(0, 10), "m3" to hot),
                emptySet(),
            ),
        )
    }
}
