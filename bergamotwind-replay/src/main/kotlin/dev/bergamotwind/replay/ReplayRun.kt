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
 * Runs one replay. All requests go through one admission queue and one target table, as if there were a single entry
 * VM; the cost of dividing rates among VMs is not modeled.
 */
internal class ReplayRun(private val trace: Trace, private val policy: ReplayPolicy, private val seed: Long) {
    private val deployment = trace.deployment
    private val configuration = deployment.toConfiguration()
    private val clock = VirtualClock()
    private val monitor = ReportingInvariantMonitor(EventRecorder.None)
    private val store = WeightStore(clock, deployment)
    private val engines = configuration.targets.mapValues { VirtualEngine(it.value, clock, store) }
    private val components = ReplayComponents(policy, configuration, deployment, clock, monitor, seed)
    private val table = TargetTable(monitor, clock).apply { applyConfiguration(configuration) }
    private val selector = TargetSelector(table, components.selectionPolicy)
    private val admission: AdmissionState = createAdmission()
    private val counters = ReplayCounters(trace)
    private val estimator = DemandEstimator(components.demandRise)
    private val arrivedTokens = mutableMapOf<ModelId, Long>()
    private val partitionedDomains = mutableSetOf<FailureDomainId>()

    fun run(): ReplayResult {
        components.initialPlacement.copies.forEach { engines.getValue(it.target).preload(it.artifact, it.memory) }
        trace.records.forEachIndexed { index, record -> clock.scheduleAt(record.millis) { applyRecord(record, index) } }
        val end = (trace.records.lastOrNull()?.millis ?: 0) + DRAIN_MILLIS
        scheduleEvery(REPORT_INTERVAL_MILLIS, end, ::deliverReports)
        scheduleEvery(EXPIRY_CHECK_MILLIS, end, admission::refuseExpired)
        clock.scheduleAt(components.intervalMillis) { scheduleEvery(components.intervalMillis, end, ::updatePlacement) }
        clock.runUntil(end)
        val violations = monitor.violations(Invariant.MEMORY_NOT_OVERCOMMITTED)
        return counters.result(policy, seed, components.placement.moves, violations.toInt())
    }

    private fun scheduleEvery(millis: Long, until: Long, action: () -> Unit) {
        if (clock.wallMillis() > until) return
        action()
        clock.scheduleAfter(millis) { scheduleEvery(millis, until, action) }
    }

    private fun createAdmission(): AdmissionState {
        val rateLimiter = TeamRateLimiter(configuration, clock, monitor)
        rateLimiter.setSlotDivisor(1)
        val lease = LeaseId(1)
        rateLimiter.extendUnitLease(lease, Long.MAX_VALUE)
        for (team in configuration.teams.values) {
            rateLimiter.addUnits(lease, team.id, List(TEAM_UNITS) { RateUnit(it, team.burst.value / TEAM_UNITS) })
        }
        return AdmissionState(
            configuration,
            rateLimiter,
            clock,
            concurrencyLimit = deployment.engines * CALLS_PER_ENGINE,
            onSettle = { admitted, tokens -> settle(admitted, tokens) },
        )
    }

    private fun settle(admitted: AdmittedRequest, tokens: Long) = admission.settle(admitted, tokens)

    private fun applyRecord(record: TraceRecord, index: Int) = when (record.kind) {
        TraceKind.REQUEST -> submitRequest(record, index)

        TraceKind.CUT_DOMAIN -> {
            partitionedDomains += FailureDomainId(record.subject)
            clock.scheduleAfter(record.deadlineMillis) { partitionedDomains -= FailureDomainId(record.subject) }
        }

        TraceKind.KILL_TARGET -> {
            val engine = engines.getValue(TargetId(record.subject))
            engine.kill()
            clock.scheduleAfter(record.deadlineMillis) { engine.restart() }
        }

        TraceKind.SLOW_STORE -> {
            store.slowdown = record.outputTokens
            clock.scheduleAfter(record.deadlineMillis) { store.slowdown = 1 }
        }
    }

    private fun submitRequest(record: TraceRecord, index: Int) {
        val tokens = (record.promptTokens + record.outputTokens).toLong()
        val deadline = clock.monotonicNanos() + record.deadlineMillis.milliseconds.inWholeNanoseconds
        val request = AdmissionRequest(RequestId("request-$index"), TeamId(record.subject), tokens, deadline)
        admission.submit(request) { decision ->
            decision.fold({ counters.recordRefusal(record, it) }) { admitted ->
                counters.recordAdmission(record)
                arrivedTokens.merge(ModelId(record.model), tokens, Long::plus)
                val adapter = record.adapter.ifEmpty { null }?.let(::AdapterId)
                estimator.observe(ModelId(record.model), adapter, Tokens(tokens))
                dispatch(record, admitted, emptySet())
            }
        }
    }

    private fun dispatch(record: TraceRecord, admitted: AdmittedRequest, triedTargets: Set<TargetId>) {
        val adapter = record.adapter.ifEmpty { null }?.let(::AdapterId)
        val domain = FailureDomainId(record.region)
        val excluded = triedTargets + engines.values.filter { isUnreachable(domain, it.target) }.map { it.target.id }
        val requirement = TargetRequirement.Engine(ModelId(record.model), adapter)
        val query = TargetQuery(requirement, domain, RegionId(record.region), record.prefix, excluded)
        selector.select(query).fold({
            counters.recordUnavailable()
            admitted.settle(0)
        }) { sendCall(record, admitted, it.target, triedTargets) }
    }

    private fun sendCall(record: TraceRecord, admitted: AdmittedRequest, target: Target, triedTargets: Set<TargetId>) {
        val isLocal = target.failureDomain.value == record.region
        val latencyMillis =
            (if (isLocal) deployment.domainLatencyMicros else deployment.regionLatencyMicros) / MICROS_PER_MILLI
        if (!isLocal) counters.recordCrossRegionCall(record)
        val sentMillis = clock.wallMillis()
        val model = Artifact(ModelId(record.model), configuration.models.getValue(ModelId(record.model)).version)
        val adapter = record.adapter.ifEmpty { null }?.let { model.copy(adapter = AdapterId(it)) }
        table.recordCallStart(target.id)
        val onFirstToken = {
            table.recordFirstToken(target.id, (clock.wallMillis() - sentMillis + latencyMillis).milliseconds)
        }
        val call = VirtualCall(model, adapter, record, onFirstToken) { isComplete ->
            table.recordCallEnd(target.id, if (isComplete) CallOutcome.ANSWERED else CallOutcome.FAILED)
            when {
                isComplete -> recordAnswer(record, admitted, latencyMillis)

                triedTargets.isEmpty() -> dispatch(record, admitted, triedTargets + target.id)

                else -> {
                    counters.recordUnavailable()
                    admitted.settle(0)
                }
            }
        }
        clock.scheduleAfter(latencyMillis) { engines.getValue(target.id).submit(call) }
    }

    private fun recordAnswer(record: TraceRecord, admitted: AdmittedRequest, latencyMillis: Long) {
        val isInTime = clock.wallMillis() + latencyMillis <= record.millis + record.deadlineMillis
        counters.recordAnswer(record, isInTime)
        admitted.settle((record.promptTokens + record.outputTokens).toLong())
    }

    private fun isUnreachable(domain: FailureDomainId, target: Target): Boolean =
        target.failureDomain != domain && (domain in partitionedDomains || target.failureDomain in partitionedDomains)

    private fun deliverReports() = engines.values.mapNotNull { it.report() }.forEach { report ->
        clock.scheduleAfter(REPORT_DELAY_MILLIS) { table.applyReport(report) }
    }

    private fun updatePlacement() {
        val reports = engines.values.mapNotNull { it.report() }.associateBy { it.target }
        val seconds = components.intervalMillis.toDouble() / MILLIS_PER_SECOND
        val offered = DemandEstimate(arrivedTokens.mapValues { it.value / seconds })
        arrivedTokens.clear()
        val smoothed = estimator.update(clock.monotonicNanos())
        components.placement.step(PlacementRound(engines, reports, partitionedDomains.toSet(), offered, smoothed))
    }

    private companion object {
        const val DRAIN_MILLIS = 30_000L
        const val REPORT_INTERVAL_MILLIS = 500L
        const val REPORT_DELAY_MILLIS = 200L
        const val EXPIRY_CHECK_MILLIS = 100L
        const val TEAM_UNITS = 16
        const val CALLS_PER_ENGINE = 32
        const val MICROS_PER_MILLI = 1_000
        const val MILLIS_PER_SECOND = 1_000
    }
}
