package dev.bergamotwind.routing

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.ArtifactReport
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.configuration.FailureDomain
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Target
import dev.bergamotwind.configuration.TargetKind
import dev.bergamotwind.test.ManualClock
import dev.bergamotwind.test.ThrowingInvariantMonitor
import kotlin.random.Random
import kotlin.time.Duration

/**
 * A table of engines `e0`, `e1`, ... with model `m`, alternating between the domains `near`, `next` (same region) and
 * `far`.
 */
class TargetFixture(engineCount: Int, seed: Long = 1) {
    val clock = ManualClock(1_000_000_000_000)
    val table = TargetTable(ThrowingInvariantMonitor, clock)
    private val selector = TargetSelector(table, ScoredPolicy(Random(seed)))
    private val regions = mapOf("near" to "here", "next" to "here", "far" to "there")
    private val domains = regions.map { (id, region) -> FailureDomain(FailureDomainId(id), RegionId(region)) }
    private var wallMillis = 0L
    private var targets = (0 until engineCount).map {
        Target(TargetId("e$it"), TargetKind.ENGINE, domains[it % 3].id, "127.0.0.1:${1000 + it}")
    }

    init {
        configure { it }
    }

    fun configure(change: (Target) -> Target?) = apply {
        targets = targets.mapNotNull(change)
        table.applyConfiguration(
            OperatorConfiguration(
                failureDomains = domains.associateBy {
                    it.id
                },
                targets = targets.associateBy { it.id },
            ),
        )
    }

    fun report(id: String, running: Int = 0, queued: Int = 0, change: (EngineReport) -> EngineReport = { it }) = apply {
        val model = listOf(artifact(null))
        table.applyReport(change(EngineReport(TargetId(id), ++wallMillis, running, queued, Mebibytes(9), 0, model)))
    }

    fun reportAll(change: (EngineReport) -> EngineReport = { it }) =
        apply { targets.forEach { report(it.id.value, change = change) } }

    fun startCalls(id: String, times: Int = 1) = apply { repeat(times) { table.recordCallStart(TargetId(id)) } }

    fun recordFirstToken(id: String, latency: Duration) = apply { table.recordFirstToken(TargetId(id), latency) }

    fun advance(time: Duration) = apply { clock.advance(time) }

    fun completeCalls(id: String, outcome: CallOutcome, times: Int = 1) = apply {
        repeat(times) { startCalls(id).table.recordCallEnd(TargetId(id), outcome) }
    }

    fun state(id: String) = table.statuses().first { it.target.id.value == id }.state

    fun select(input: SelectionInput = SelectionInput()): String {
        val engine = TargetRequirement.Engine(ModelId("m"), input.adapter?.let(::AdapterId))
        val requirement = input.route?.let { TargetRequirement.Service(RouteId(it)) } ?: engine
        val excluded = setOf(TargetId(input.excluded))
        val query = TargetQuery(requirement, domains[0].id, domains[0].region, input.prefix, excluded)
        return selector.select(query).fold({ it.code }, { it.target.id.value })
    }

    data class SelectionInput(
        val adapter: String? = null,
        val prefix: String? = null,
        val excluded: String = "none",
        val route: String? = null,
    )

    companion object {
        fun artifact(adapter: String?) =
            ArtifactReport(Artifact(ModelId("m"), "1", adapter?.let(::AdapterId)), ArtifactState.LOADED, Mebibytes(1))
    }
}
