package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.Samples
import dev.bergamotwind.serving.peer.ModelDemand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against models that stay unreachable, hot models on too few engines, and swaps back and forth. */
internal class SwapPlannerSpec {
    data class Case(
        val name: String,
        val engines: List<EngineView>,
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
    @Tag("known-red")
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
        ) = EngineView(
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
        fun cases() = demandCases() + storeCases()

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
