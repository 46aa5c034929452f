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

/** Engines `e0`.. with model `m`, of which every third is in each of the domains `near`, `next` and `far`. */
class TargetFixture(count: Int, val clock: ManualClock = ManualClock(1_000_000_000_000), seed: Long = 1) {
    val table = TargetTable(ThrowingInvariantMonitor, clock)
    val selector = TargetSelector(table, ScoredPolicy(Random(seed)))
    private var wallMillis = 0L
    private var targets = (0 until count).map { engine("e$it", DOMAINS[it % 3]) }

    init {
        configure { it }
    }

    fun configure(change: (List<Target>) -> List<Target>) {
        targets = change(targets)
        val regions = mapOf("near" to "here", "next" to "here", "far" to "there")
        val domains = DOMAINS.map { FailureDomain(FailureDomainId(it), RegionId(regions.getValue(it))) }
        table.configure(
            OperatorConfiguration(
                failureDomains = domains.associateBy { it.id },
                targets = targets.associateBy { it.id },
            ),
        )
    }

    fun report(id: String, running: Int = 0, queued: Int = 0, change: (EngineReport) -> EngineReport = { it }) {
        val artifacts = listOf(ArtifactReport(MODEL, ArtifactState.LOADED, Mebibytes(1)))
        table.reported(
            change(EngineReport(TargetId(id), ++wallMillis, running, queued, Mebibytes(9), artifacts = artifacts)),
        )
    }

    fun query(adapter: String? = null, prefix: String? = null, excluded: List<String> = emptyList()) = TargetQuery(
        TargetNeed.Engine(MODEL.model, adapter?.let(::AdapterId)),
        FailureDomainId("near"),
        RegionId("here"),
        prefix,
        excluded.map(::TargetId).toSet(),
    )

    fun select(query: TargetQuery = query()): String = selector.select(query).fold({ it.code }, { it.target.id.value })

    fun call(id: String, outcome: CallOutcome) {
        table.started(TargetId(id))
        table.finished(TargetId(id), outcome)
    }

    companion object {
        val DOMAINS = listOf("near", "next", "far")
        val MODEL = Artifact(ModelId("m"), "1")

        fun engine(id: String, domain: String) =
            Target(TargetId(id), TargetKind.ENGINE, FailureDomainId(domain), "127.0.0.1:${id.hashCode()}")

        fun service(id: String, domain: String, route: String) =
            engine(id, domain).copy(kind = TargetKind.SERVICE, route = RouteId(route))

        fun withAdapter(report: EngineReport, adapter: String) = report.copy(
            artifacts = report.artifacts + ArtifactReport(
                MODEL.copy(adapter = AdapterId(adapter)),
                ArtifactState.LOADED,
                Mebibytes(1),
            ),
        )
    }
}
