package dev.bergamotwind.replay

import dev.bergamotwind.admission.AdmissionRequest
import dev.bergamotwind.admission.AdmissionState
import dev.bergamotwind.admission.AdmittedRequest
import dev.bergamotwind.admission.RateUnit
import dev.bergamotwind.admission.TeamRateLimiter
import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.configuration.Target
import dev.bergamotwind.core.ReportingInvariantMonitor
import dev.bergamotwind.placement.DemandEstimate
import dev.bergamotwind.placement.DemandEstimator
import dev.bergamotwind.routing.CallOutcome
import dev.bergamotwind.routing.TargetQuery
import dev.bergamotwind.routing.TargetRequirement
import dev.bergamotwind.routing.TargetSelector
import dev.bergamotwind.routing.TargetTable
import kotlin.time.Duration.Companion.milliseconds

/**
 * One replay. All requests go through one admission and one target table, as if the entry VMs were one; the cost of
 * dividing rates among VMs is not part of a replay.
 */
internal class ReplayRun(private val trace: Trace, private val policy: ReplayPolicy, private val seed: Long) {
    private val deployment = trace.deployment
    private val configuration = deployment.toConfiguration()
    private val clock = VirtualClock()
    private val monitor = ReportingInvariantMonitor(EventRecorder.None)
    private val store = WeightStore(clock, deployment)
    private val engines = configuration.targets.mapValues { VirtualEngine(it.value, clock, store) }
    private val parts = PolicyParts(policy, configuration, deployment, clock, monitor, seed)
    private val table = TargetTable(monitor, clock).apply { applyConfiguration(configuration) }
    private val selector = TargetSelector(table, parts.selection)
    private val admission: AdmissionState = admission()
    private val counters = ReplayCounters(trace)
    private val estimator = DemandEstimator(parts.demandRise)
    private val arrived = mutableMapOf<ModelId, Long>()
    private val cut = mutableSetOf<FailureDomainId>()

    fun run(): ReplayResult {
        parts.initial.copies.forEach { engines.getValue(it.target).preload(it.artifact, it.memory) }
        trace.records.forEachIndexed { index, record -> clock.at(record.millis) { apply(record, index) } }
        val end = (trace.records.lastOrNull()?.millis ?: 0) + DRAIN_MILLIS
        every(REPORT_INTERVAL_MILLIS, end, ::readReports)
        every(TICK_MILLIS, end, admission::refuseExpired)
        clock.at(parts.intervalMillis) { every(parts.intervalMillis, end, ::place) }
        clock.run(end)
        val violations = monitor.violations(Invariant.MEMORY_NOT_OVERCOMMITTED)
        return counters.result(policy, seed, parts.placement.moves, violations.toInt())
    }

    private fun every(millis: Long, until: Long, action: () -> Unit) {
        if (clock.wallMillis() > until) return
        action()
        clock.after(millis) { every(millis, until, action) }
    }

    private fun admission(): AdmissionState {
        val shares = TeamRateLimiter(configuration, clock, monitor)
        shares.setSlotDivisor(1)
        val lease = LeaseId(1)
        shares.extendUnitLease(lease, Long.MAX_VALUE)
        for (team in configuration.teams.values) {
            shares.addUnits(lease, team.id, List(SURPLUS_UNITS) { RateUnit(it, team.burst.value / SURPLUS_UNITS) })
        }
        return AdmissionState(
            configuration,
            shares,
            clock,
            concurrencyLimit = deployment.engines * CALLS_PER_ENGINE,
            onSettle = { admitted, tokens -> settle(admitted, tokens) },
        )
    }

    private fun settle(admitted: AdmittedRequest, tokens: Long) = admission.settle(admitted, tokens)

    private fun apply(record: TraceRecord, index: Int) = when (record.kind) {
        TraceKind.REQUEST -> request(record, index)

        TraceKind.CUT_DOMAIN -> {
            cut += FailureDomainId(record.subject)
            clock.after(record.deadlineMillis) { cut -= FailureDomainId(record.subject) }
        }

        TraceKind.KILL_TARGET -> {
            val engine = engines.getValue(TargetId(record.subject))
            engine.kill()
            clock.after(record.deadlineMillis) { engine.revive() }
        }

        TraceKind.SLOW_STORE -> {
            store.slowdown = record.outputTokens
            clock.after(record.deadlineMillis) { store.slowdown = 1 }
        }
    }

    private fun request(record: TraceRecord, index: Int) {
        val tokens = (record.promptTokens + record.outputTokens).toLong()
        val deadline = clock.monotonicNanos() + record.deadlineMillis.milliseconds.inWholeNanoseconds
        val request = AdmissionRequest(RequestId("request-$index"), TeamId(record.subject), tokens, deadline)
        admission.submit(request) { decision ->
            decision.fold({ counters.refused(record, it) }) { admitted ->
                counters.admitted(record)
                arrived.merge(ModelId(record.model), tokens, Long::plus)
                val adapter = record.adapter.ifEmpty { null }?.let(::AdapterId)
                estimator.observe(ModelId(record.model), adapter, Tokens(tokens))
                dispatch(record, admitted, emptySet())
            }
        }
    }

    private fun dispatch(record: TraceRecord, admitted: AdmittedRequest, tried: Set<TargetId>) {
        val adapter = record.adapter.ifEmpty { null }?.let(::AdapterId)
        val domain = FailureDomainId(record.region)
        val excluded = tried + engines.values.filter { isCutOff(domain, it.target) }.map { it.target.id }
        val need = TargetRequirement.Engine(ModelId(record.model), adapter)
        val query = TargetQuery(need, domain, RegionId(record.region), record.prefix, excluded)
        selector.select(query).fold({
            counters.unavailable()
            admitted.settle(0)
        }) { call(record, admitted, it.target, tried) }
    }

    private fun call(record: TraceRecord, admitted: AdmittedRequest, target: Target, tried: Set<TargetId>) {
        val isLocal = target.failureDomain.value == record.region
        val way = (if (isLocal) deployment.domainLatencyMicros else deployment.regionLatencyMicros) / MICROS_PER_MILLI
        if (!isLocal) counters.crossed(record)
        val sent = clock.wallMillis()
        val model = Artifact(ModelId(record.model), configuration.models.getValue(ModelId(record.model)).version)
        val adapter = record.adapter.ifEmpty { null }?.let { model.copy(adapter = AdapterId(it)) }
        table.recordCallStart(target.id)
        val firstToken = { table.recordFirstToken(target.id, (clock.wallMillis() - sent + way).milliseconds) }
        val call = VirtualCall(model, adapter, record, firstToken) { isWhole ->
            table.recordCallEnd(target.id, if (isWhole) CallOutcome.ANSWERED else CallOutcome.FAILED)
            when {
                isWhole -> finish(record, admitted, way)

                tried.isEmpty() -> dispatch(record, admitted, tried + target.id)

                else -> {
                    counters.unavailable()
                    admitted.settle(0)
                }
            }
        }
        clock.after(way) { engines.getValue(target.id).call(call) }
    }

    private fun finish(record: TraceRecord, admitted: AdmittedRequest, way: Long) {
        val isInTime = clock.wallMillis() + way <= record.millis + record.deadlineMillis
        counters.answered(record, isInTime)
        admitted.settle((record.promptTokens + record.outputTokens).toLong())
    }

    private fun isCutOff(domain: FailureDomainId, target: Target): Boolean =
        target.failureDomain != domain && (domain in cut || target.failureDomain in cut)

    private fun readReports() = engines.values.mapNotNull { it.report() }.forEach { report ->
        clock.after(REPORT_LAG_MILLIS) { table.applyReport(report) }
    }

    private fun place() {
        val reports = engines.values.mapNotNull { it.report() }.associateBy { it.target }
        val seconds = parts.intervalMillis.toDouble() / MILLIS_PER_SECOND
        val offered = DemandEstimate(arrived.mapValues { it.value / seconds })
        arrived.clear()
        val smoothed = estimator.update(clock.monotonicNanos())
        parts.placement.step(PlacementRound(engines, reports, cut.toSet(), offered, smoothed))
    }

    private companion object {
        const val DRAIN_MILLIS = 30_000L
        const val REPORT_INTERVAL_MILLIS = 500L
        const val REPORT_LAG_MILLIS = 200L
        const val TICK_MILLIS = 100L
        const val SURPLUS_UNITS = 16
        const val CALLS_PER_ENGINE = 32
        const val MICROS_PER_MILLI = 1_000
        const val MILLIS_PER_SECOND = 1_000
    }
}
