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

/** Engines `e0`.. with model `m`, in the domains `near`, `next` (same region) and `far` in turn. */
class TargetFixture(count: Int, seed: Long = 1) {
    val clock = ManualClock(1_000_000_000_000)
    val table = TargetTable(ThrowingInvariantMonitor, clock)
    private val selector = TargetSelector(table, ScoredPolicy(Random(seed)))
    private val regions = mapOf("near" to "here", "next" to "here", "far" to "there")
    private val domains = regions.map { (id, region) -> FailureDomain(FailureDomainId(id), RegionId(region)) }
    private var wallMillis = 0L
    private var targets = (0 until count).map {
        Target(TargetId("e$it"), TargetKind.ENGINE, domains[it % 3].id, "127.0.0.1:${1000 + it}")
    }

    init {
        configure { it }
    }

    fun configure(change: (Target) -> Target?) = apply {
        targets = targets.mapNotNull(change)
        table.configure(
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
        table.reported(change(EngineReport(TargetId(id), ++wallMillis, running, queued, Mebibytes(9), 0, model)))
    }

    fun all(change: (EngineReport) -> EngineReport = { it }) =
        apply { targets.forEach { report(it.id.value, change = change) } }

    fun started(id: String, times: Int = 1) = apply { repeat(times) { table.started(TargetId(id)) } }

    fun firstToken(id: String, latency: Duration) = apply { table.firstToken(TargetId(id), latency) }

    fun advance(time: Duration) = apply { clock.advance(time) }

    fun call(id: String, outcome: CallOutcome, times: Int = 1) = apply {
        repeat(times) { started(id).table.finished(TargetId(id), outcome) }
    }

    fun state(id: String) = table.status().first { it.target.id.value == id }.state

    fun select(ask: Ask = Ask()): String {
        val engine = TargetNeed.Engine(ModelId("m"), ask.adapter?.let(::AdapterId))
        val need = ask.route?.let { TargetNeed.Service(RouteId(it)) } ?: engine
        val query = TargetQuery(need, domains[0].id, domains[0].region, ask.prefix, setOf(TargetId(ask.excluded)))
        return selector.select(query).fold({ it.code }, { it.target.id.value })
    }

    data class Ask(
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
