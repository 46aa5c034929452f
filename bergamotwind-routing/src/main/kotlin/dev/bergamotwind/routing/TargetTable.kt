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
 * What this node knows about targets, from the configuration, lagging reports, leaving signals and its own calls. Safe
 * for use by several threads: one lock, held for microseconds and never during a call to the outside.
 */
public class TargetTable(private val monitor: InvariantMonitor, private val clock: Clock = SystemClock) {
    private val entries = TreeMap<TargetId, TargetEntry>()
    private var engines: List<TargetEntry> = emptyList()
    private var enginesByModel: Map<ModelId, List<TargetEntry>> = emptyMap()
    private var modelsChanged = false
    private var services: Map<RouteId, List<TargetEntry>> = emptyMap()

    /** Takes over the targets of [configuration]; a target that is no longer configured gets no new work. */
    @Synchronized
    public fun configure(configuration: OperatorConfiguration) {
        val now = clock.monotonicNanos()
        for (target in configuration.targets.values) {
            // A target that moved is another process, about which nothing is known.
            val known = entries[target.id]?.takeIf {
                it.target.address == target.address && it.state != TargetEntry.GONE
            }
            val entry = known ?: TargetEntry(target, monitor).also { entries[target.id] = it }
            entry.target = target
            entry.region = configuration.failureDomains[target.failureDomain]?.region
            entry.signal(LeavingSignal.CONFIGURATION, target.leaving, now)
        }
        val missing = entries.values.filter { it.target.id !in configuration.targets }
        missing.forEach { if (it.state != TargetEntry.GONE) it.removed() }
        entries.values.removeIf { it.state == TargetEntry.GONE && it.inFlight == 0 }
        index()
    }

    /** Takes in [report], whether read from the target or received from a peer. */
    @Synchronized
    public fun reported(report: EngineReport) {
        val entry = entries[report.target] ?: return
        if (entry.reported(report, clock.monotonicNanos())) modelsChanged = true
    }

    /** Notes that [signal] says whether [target] is leaving. */
    @Synchronized
    public fun signal(target: TargetId, signal: LeavingSignal, leaving: Boolean) {
        entries[target]?.signal(signal, leaving, clock.monotonicNanos())
    }

    /** A request was sent to [target]. Every call needs one later [finished]. */
    @Synchronized
    public fun started(target: TargetId) {
        val entry = entries[target] ?: return
        val now = clock.monotonicNanos()
        val leaving = entry.leavingForNanos(now)
        monitor.check(Invariant.LEAVING_TARGET_IDLE, leaving <= LEAVING_GRACE.inWholeNanoseconds) {
            "target=$target leaving_nanos=$leaving"
        }
        entry.started(now)
    }

    /** The first token or byte came from [target] after [latency]. */
    @Synchronized
    public fun firstToken(target: TargetId, latency: Duration) {
        entries[target]?.firstToken(latency.inWholeNanoseconds)
    }

    /** A call to [target] ended. */
    @Synchronized
    public fun finished(target: TargetId, outcome: CallOutcome) {
        val entry = entries[target] ?: return
        entry.finished(outcome, clock.monotonicNanos())
        if (entry.state == TargetEntry.GONE && entry.inFlight == 0) entries.remove(target)
    }

    /** Returns the newest report of [target], or null if none has arrived. */
    @Synchronized
    public fun reportOf(target: TargetId): EngineReport? = entries[target]?.report

    /** Returns the state of all targets in order of their ids. */
    @Synchronized
    public fun status(): List<TargetStatus> {
        val now = clock.monotonicNanos()
        return entries.values.onEach { it.refresh(now) }
            .map { TargetStatus(it.target, it.state, it.inFlight, it.report, it.hasFirstHandSignal()) }
    }

    /** Chooses a target for [query] by [policy], or fails as not run. */
    @Synchronized
    internal fun choose(query: TargetQuery, policy: TargetSelectionPolicy): Either<Failure, TargetChoice> {
        val now = clock.monotonicNanos()
        val able = ableTo(query).filter { entry ->
            entry.refresh(now)
            entry.state != TargetEntry.LEAVING && entry.target.id !in query.excluded
        }
        if (able.isEmpty()) return Failure.Unavailable("no target can serve ${nameOf(query.need)} now").left()
        // When all are ejected, the last targets of a model stay in use.
        val chosen = policy.choose(able.filter { it.state != TargetEntry.EJECTED }.ifEmpty { able }, query)
        monitor.check(Invariant.LEAVING_TARGET_IDLE, chosen.state != TargetEntry.LEAVING) {
            "target=${chosen.target.id}"
        }
        return choiceOf(chosen, query).right()
    }

    private fun choiceOf(chosen: TargetView, query: TargetQuery): TargetChoice {
        val adapter = (query.need as? TargetNeed.Engine)?.adapter
        return TargetChoice(
            chosen.target,
            chosen.predictedFirstTokenNanos.nanoseconds,
            adapter == null || chosen.adapterState(adapter) == ArtifactState.LOADED,
            query.prefixHash?.let(chosen::isWarm) ?: false,
        )
    }

    private fun ableTo(query: TargetQuery): List<TargetEntry> = when (val need = query.need) {
        is TargetNeed.Service -> services[need.route].orEmpty()

        is TargetNeed.Engine -> {
            indexModels()
            val loaded = enginesByModel[need.model].orEmpty()
            loaded.filter { it.servesWholeRequests() }.ifEmpty { loaded }.ifEmpty { unreported(query.failureDomain) }
        }
    }

    /** Before an engine's first report, any engine of the own failure domain may have the model. */
    private fun unreported(failureDomain: FailureDomainId) =
        engines.filter { it.report == null && it.target.failureDomain == failureDomain }

    private fun index() {
        val present = entries.values.filter { it.state != TargetEntry.GONE }
        engines = present.filter { it.target.kind == TargetKind.ENGINE }
        val replicas = present.filter { it.target.kind == TargetKind.SERVICE }
        services = buildMap<RouteId, MutableList<TargetEntry>> {
            for (replica in replicas) replica.target.route?.let { getOrPut(it, ::mutableListOf).add(replica) }
        }
        modelsChanged = true
    }

    /** Done at the next selection, so that a round of first reports costs one pass. */
    private fun indexModels() {
        if (!modelsChanged) return
        modelsChanged = false
        enginesByModel = buildMap<ModelId, MutableList<TargetEntry>> {
            for (engine in engines) for (model in engine.models) getOrPut(model, ::mutableListOf).add(engine)
        }
    }

    private fun nameOf(need: TargetNeed): String = when (need) {
        is TargetNeed.Service -> "route ${need.route}"
        is TargetNeed.Engine -> "model ${need.model}"
    }
}
