package dev.bergamotwind.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.SystemClock
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.TargetKind
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * State of all targets as this node sees it, from the configuration, delayed reports, leaving signals and the node's
 * own calls. Thread-safe: one lock guards everything; it is held for microseconds and never during I/O.
 */
public class TargetTable(private val monitor: InvariantMonitor, private val clock: Clock = SystemClock) {
    private val entries = TreeMap<TargetId, TargetEntry>()
    private var engines: List<TargetEntry> = emptyList()
    private var enginesByModel: Map<ModelId, List<TargetEntry>> = emptyMap()
    private var modelIndexStale = false
    private var services: Map<RouteId, List<TargetEntry>> = emptyMap()

    /** Adopts the targets of [configuration]. A target that is no longer configured gets no new requests. */
    @Synchronized
    public fun applyConfiguration(configuration: OperatorConfiguration) {
        val now = clock.monotonicNanos()
        for (target in configuration.targets.values) {
            // A target with another address is another process, so the state of the old one does not apply to it.
            val known = entries[target.id]?.takeIf {
                it.target.address == target.address && it.state != TargetEntry.GONE
            }
            val entry = known ?: TargetEntry(target, monitor).also { entries[target.id] = it }
            entry.target = target
            entry.region = configuration.failureDomains[target.failureDomain]?.region
            entry.setLeavingSignal(LeavingSignal.CONFIGURATION, target.leaving, now)
        }
        val missing = entries.values.filter { it.target.id !in configuration.targets }
        missing.forEach { if (it.state != TargetEntry.GONE) it.tryRemove() }
        entries.values.removeIf { it.state == TargetEntry.GONE && it.inFlight == 0 }
        rebuildIndexes()
    }

    /** Applies [report], whether read from the target or received from a peer. */
    @Synchronized
    public fun applyReport(report: EngineReport) {
        val entry = entries[report.target] ?: return
        if (entry.applyReport(report, clock.monotonicNanos())) modelIndexStale = true
    }

    /** Records whether the source [signal] says that [target] is leaving. */
    @Synchronized
    public fun setLeavingSignal(target: TargetId, signal: LeavingSignal, leaving: Boolean) {
        entries[target]?.setLeavingSignal(signal, leaving, clock.monotonicNanos())
    }

    /** Records that a request was sent to [target]. Each needs exactly one later [recordCallEnd]. */
    @Synchronized
    public fun recordCallStart(target: TargetId) {
        val entry = entries[target] ?: return
        val now = clock.monotonicNanos()
        val leavingNanos = entry.leavingDurationNanos(now)
        monitor.check(Invariant.LEAVING_TARGET_IDLE, leavingNanos <= LEAVING_GRACE_PERIOD.inWholeNanoseconds) {
            "target=$target leaving_nanos=$leavingNanos"
        }
        entry.recordCallStart(now)
    }

    /** Records that the first token or byte arrived from [target] after [latency]. */
    @Synchronized
    public fun recordFirstToken(target: TargetId, latency: Duration) {
        entries[target]?.recordFirstToken(latency.inWholeNanoseconds)
    }

    /** Records that a call to [target] ended with [outcome]. */
    @Synchronized
    public fun recordCallEnd(target: TargetId, outcome: CallOutcome) {
        val entry = entries[target] ?: return
        entry.recordCallEnd(outcome, clock.monotonicNanos())
        if (entry.state == TargetEntry.GONE && entry.inFlight == 0) entries.remove(target)
    }

    /** Returns the newest report of [target], or null if none has arrived. */
    @Synchronized
    public fun latestReport(target: TargetId): EngineReport? = entries[target]?.report

    /** Returns the state of every target, ordered by id. */
    @Synchronized
    public fun statuses(): List<TargetStatus> {
        val now = clock.monotonicNanos()
        return entries.values.onEach { it.expireSignalsAndEjection(now) }
            .map { TargetStatus(it.target, it.state, it.inFlight, it.report, it.hasDirectLeavingSignal()) }
    }

    /** Selects a target for [query] by [policy]. Fails as not run when no target can serve the query. */
    @Synchronized
    internal fun selectTarget(query: TargetQuery, policy: TargetSelectionPolicy): Either<Failure, TargetChoice> {
        val now = clock.monotonicNanos()
        val candidates = findCandidates(query).filter { entry ->
            entry.expireSignalsAndEjection(now)
            entry.state != TargetEntry.LEAVING && entry.target.id !in query.excluded
        }
        if (candidates.isEmpty()) {
            return Failure.Unavailable("no target can serve ${describe(query.requirement)} now").left()
        }
        // When every candidate is ejected, all of them stay in use.
        val chosen = policy.choose(candidates.filter { it.state != TargetEntry.EJECTED }.ifEmpty { candidates }, query)
        monitor.check(Invariant.LEAVING_TARGET_IDLE, chosen.state != TargetEntry.LEAVING) {
            "target=${chosen.target.id}"
        }
        return toTargetChoice(chosen, query).right()
    }

    private fun toTargetChoice(chosen: TargetView, query: TargetQuery): TargetChoice {
        val adapter = (query.requirement as? TargetRequirement.Engine)?.adapter
        return TargetChoice(
            chosen.target,
            chosen.predictedFirstTokenNanos.nanoseconds,
            adapter == null || chosen.adapterState(adapter) == ArtifactState.LOADED,
            query.prefixHash?.let(chosen::hasWarmPrefix) ?: false,
        )
    }

    private fun findCandidates(query: TargetQuery): List<TargetEntry> = when (val requirement = query.requirement) {
        is TargetRequirement.Service -> services[requirement.route].orEmpty()

        is TargetRequirement.Engine -> {
            refreshModelIndex()
            val loaded = enginesByModel[requirement.model].orEmpty()
            loaded.filter { it.runsPrefillAndDecode() }
                .ifEmpty { loaded }
                .ifEmpty { unreportedEngines(query.failureDomain) }
        }
    }

    /** Engines of this node's failure domain without a report yet: any of them may have the model loaded. */
    private fun unreportedEngines(failureDomain: FailureDomainId) =
        engines.filter { it.report == null && it.target.failureDomain == failureDomain }

    private fun rebuildIndexes() {
        val present = entries.values.filter { it.state != TargetEntry.GONE }
        engines = present.filter { it.target.kind == TargetKind.ENGINE }
        val replicas = present.filter { it.target.kind == TargetKind.SERVICE }
        services = buildMap<RouteId, MutableList<TargetEntry>> {
            for (replica in replicas) replica.target.route?.let { getOrPut(it, ::mutableListOf).add(replica) }
        }
        modelIndexStale = true
    }

    /** Rebuilds the index by model at the next selection, so that a batch of first reports causes one rebuild. */
    private fun refreshModelIndex() {
        if (!modelIndexStale) return
        modelIndexStale = false
        enginesByModel = buildMap<ModelId, MutableList<TargetEntry>> {
            for (engine in engines) for (model in engine.models) getOrPut(model, ::mutableListOf).add(engine)
        }
    }

    private fun describe(requirement: TargetRequirement): String = when (requirement) {
        is TargetRequirement.Service -> "route ${requirement.route}"
        is TargetRequirement.Engine -> "model ${requirement.model}"
    }
}
