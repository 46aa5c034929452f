package dev.bergamotwind.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.ArtifactReport
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.configuration.Adapter
import dev.bergamotwind.configuration.Model
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Target
import dev.bergamotwind.configuration.TargetKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration.Companion.minutes

/** Guards against plans that drop a model, move without need, or ignore a limit. */
class PlacementPlannerSpec {
    /**
     * [placed] lists the loaded artifacts as `target:artifact`, [unreported] the targets without a report. All models
     * need 40 of the 100 MiB of each engine, adapters need 5.
     */
    data class PlanCase(
        val name: String,
        val placed: List<String>,
        val moves: Set<String>,
        val models: String = "a b",
        val demand: Map<String, Double> = emptyMap(),
        val leaving: Set<String> = emptySet(),
        val unreported: Set<String> = emptySet(),
        val startableLoads: Int = 9,
        val version: String = "1",
        val ageMillis: Long = 10.minutes.inWholeMilliseconds,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("planCases")
    fun `plans the expected moves`(case: PlanCase) =
        assertEquals(case.moves, PlacementPlanner.plan(inputOf(case)).map(::render).toSet())

    @Test
    fun `demand estimate follows a tenfold rise within one minute and falls slowly`() {
        val estimator = DemandEstimator()
        val model = ModelId("a")
        fun observe(seconds: IntRange, perSecond: Long) = seconds.last { second ->
            estimator.observe(model, null, Tokens(perSecond))
            estimator.update(second * 1_000_000_000L)
            true
        }
        observe(0..600, 100)
        observe(601..660, 1_000)
        assertTrue(estimator.estimate.of(model) > 900) { "${estimator.estimate}" }
        observe(661..690, 100)
        assertTrue(estimator.estimate.of(model) > 800) { "${estimator.estimate}" }
    }

    private fun inputOf(case: PlanCase): PlacementInput {
        val targets = listOf("x", "y").map {
            Target(
                TargetId(it),
                TargetKind.ENGINE,
                FailureDomainId("domain-$it"),
                "127.0.0.1:7000",
                Mebibytes(100),
                1,
                leaving = it in case.leaving,
            )
        }
        val models = case.models.split(" ").map { Model(ModelId(it), case.version, Mebibytes(40)) }
        val adapter = Adapter(AdapterId("s"), ModelId("a"), Mebibytes(5))
        val placed = case.placed.groupBy({ TargetId(it.substringBefore(':')) }, { artifact(it.substringAfter(':')) })
        val ledgers = targets.associate { target ->
            target.id to MemoryLedger(
                target.memory,
                entries = placed[target.id].orEmpty().map { LedgerEntry(it, memory(it), LedgerEntryState.LOADED) },
            )
        }
        val reports = ledgers.filterKeys { it.value !in case.unreported }.mapValues { (id, ledger) ->
            val artifacts = ledger.entries.map { ArtifactReport(it.artifact, ArtifactState.LOADED, it.memory) }
            EngineReport(id, case.ageMillis, 0, 0, ledger.used, artifacts = artifacts)
        }
        val demand = DemandEstimate(
            case.demand.filterKeys { it != "s" }.mapKeys { ModelId(it.key) },
            case.demand.filterKeys { it == "s" }.mapKeys { AdapterId(it.key) },
        )
        val configuration = OperatorConfiguration(
            models = models.associateBy { it.id },
            adapters = mapOf(adapter.id to adapter),
            targets = targets.associateBy { it.id },
        )
        return PlacementInput(configuration, ledgers, reports, demand, case.startableLoads)
    }

    private fun memory(artifact: Artifact) = Mebibytes(if (artifact.adapter == null) 40 else 5)

    private fun artifact(text: String): Artifact {
        val (model, version) = text.substringBefore('+').split("@")
        return Artifact(ModelId(model), version, text.substringAfter('+', "").ifEmpty { null }?.let(::AdapterId))
    }

    private fun render(move: PlacementMove) =
        (if (move is PlacementMove.Load) "+" else "-") + "${move.target}:${move.artifact}"

    companion object {
        @JvmStatic
        fun planCases() = copyCases() + versionAndMemoryCases()

        private fun copyCases() = listOf(
            PlanCase("an empty fleet", emptyList(), setOf("+x:a@1", "+y:b@1")),
            PlanCase("an exhausted store rate", emptyList(), setOf("+x:a@1"), startableLoads = 1),
            PlanCase("nothing to do", listOf("x:a@1", "y:b@1"), emptySet()),
            PlanCase(
                "demand below the congestion threshold in both failure domains",
                listOf("x:a@1", "y:a@1", "y:b@1"),
                emptySet(),
                demand = mapOf("a" to 500.0),
            ),
            PlanCase(
                "demand below the congestion threshold in one failure domain with unused memory in the other",
                listOf("x:a@1", "y:b@1"),
                setOf("+y:a@1"),
                demand = mapOf("a" to 500.0),
            ),
            PlanCase(
                "demand below the congestion threshold without unused memory",
                listOf("x:a@1", "x:b@1", "y:b@1", "y:c@1"),
                emptySet(),
                models = "a b c",
                demand = mapOf("a" to 300.0, "b" to 300.0, "c" to 300.0),
            ),
            PlanCase(
                "a congested model with unused memory on another engine",
                listOf("x:a@1", "y:b@1"),
                setOf("+y:a@1"),
                demand = mapOf("a" to 2_500.0),
            ),
            PlanCase(
                "a target without a report whose model is needed",
                listOf("x:a@1", "y:b@1"),
                setOf("+y:a@1"),
                unreported = setOf("x"),
            ),
            PlanCase(
                "a leaving target without a copy elsewhere",
                listOf("x:a@1", "y:b@1"),
                setOf("+y:a@1"),
                leaving = setOf("x"),
            ),
            PlanCase(
                "a leaving target with a copy elsewhere",
                listOf("x:a@1", "y:a@1", "y:b@1"),
                setOf("-x:a@1"),
                leaving = setOf("x"),
            ),
        )

        private fun versionAndMemoryCases() = listOf(
            PlanCase(
                "a new version with memory for both versions",
                listOf("x:a@1", "y:b@1"),
                setOf("+x:a@2", "+y:b@2"),
                version = "2",
            ),
            PlanCase(
                "an old version that the new one has replaced",
                listOf("x:a@1", "y:a@2", "y:b@2"),
                setOf("-x:a@1"),
                version = "2",
            ),
            PlanCase(
                "a model without a copy while another has a spare copy",
                listOf("x:a@1", "x:b@1", "y:a@1", "y:b@1"),
                setOf("-x:b@1"),
                models = "a b c",
                demand = mapOf("a" to 9.0),
            ),
            PlanCase(
                "a model without a copy while no memory is free and no copy is spare",
                listOf("x:a@1", "x:b@1", "y:c@1", "y:d@1"),
                emptySet(),
                models = "a b c d e",
            ),
            PlanCase(
                "a congested model while the spare copy is younger than the minimum residence",
                listOf("x:a@1", "x:b@1", "y:c@1", "y:b@1"),
                emptySet(),
                models = "a b c",
                demand = mapOf("a" to 5_000.0),
                ageMillis = 1_000,
            ),
            PlanCase(
                "a congested model while the spare copy is older than the minimum residence",
                listOf("x:a@1", "x:b@1", "y:c@1", "y:b@1"),
                setOf("-y:b@1"),
                models = "a b c",
                demand = mapOf("a" to 5_000.0),
            ),
            PlanCase(
                "an adapter in demand",
                listOf("x:a@1", "y:b@1"),
                setOf("+x:a@1+s"),
                demand = mapOf("s" to 1.0),
            ),
            PlanCase(
                "an adapter of an old version",
                listOf("x:a@1+s", "x:a@2", "y:b@2"),
                setOf("-x:a@1+s"),
                version = "2",
            ),
        )
    }
}
