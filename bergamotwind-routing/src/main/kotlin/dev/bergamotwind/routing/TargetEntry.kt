package dev.bergamotwind.routing

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.EngineRole
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.configuration.Target
import dev.bergamotwind.core.StateChart
import dev.bergamotwind.core.StateMachine
import java.util.EnumMap

/** Everything a node knows about one target. Guarded by the lock of [TargetTable]. */
internal class TargetEntry(override var target: Target, monitor: InvariantMonitor) : TargetView {
    private val machine = StateMachine(CHART, monitor)
    private val correction = LoadCorrection()
    private val signals = EnumMap<LeavingSignal, Long>(LeavingSignal::class.java)
    private var adapters: Map<AdapterId, ArtifactState> = emptyMap()
    private var warmPrefixes: Set<String> = emptySet()
    private var baseNanos = ASSUMED_FIRST_TOKEN.inWholeNanoseconds.toDouble()
    private var reportNanos = 0L
    private var consecutiveFailures = 0
    private var ejections = 0
    private var ejectedUntilNanos = 0L
    private var leavingSinceNanos = 0L

    /** Models that the engine has reported as loaded, in any version. */
    var models: Set<ModelId> = emptySet()
        private set

    var report: EngineReport? = null
        private set

    override var region: RegionId? = null
    override var inFlight = 0
        private set
    override val state: String get() = machine.state
    override val running: Int get() = maxOf((report?.running ?: 0) + if (hasQueue) 0 else correction.change, 0)
    override val queued: Int get() = if (hasQueue) maxOf((report?.queued ?: 0) + correction.change, 0) else 0
    override val predictedFirstTokenNanos: Long get() = (baseNanos * loadFactor()).toLong()

    // An engine that queues has no free place in its batch, so further requests join the queue.
    private val hasQueue: Boolean get() = (report?.queued ?: 0) > 0

    override fun adapterState(adapter: AdapterId): ArtifactState? = adapters[adapter]

    override fun isWarm(prefixHash: String): Boolean = prefixHash in warmPrefixes

    fun servesWholeRequests(): Boolean = report.let { it == null || it.role == EngineRole.BOTH }

    /** Takes in [received] unless it is older than the last one; true when other models are loaded now. */
    fun reported(received: EngineReport, nowNanos: Long): Boolean {
        val known = report
        val silent = nowNanos - reportNanos > REPORT_ORDER_LIMIT.inWholeNanoseconds
        if (known != null && received.wallMillis <= known.wallMillis && !silent) return false
        val modelsBefore = models
        if (known?.artifacts != received.artifacts) {
            val loaded = received.artifacts.filter { it.state == ArtifactState.LOADED && it.artifact.adapter == null }
            models = loaded.mapTo(HashSet()) { it.artifact.model }
            adapters = received.artifacts.mapNotNull { of -> of.artifact.adapter?.let { it to of.state } }.toMap()
        }
        if (known?.warmPrefixes != received.warmPrefixes) warmPrefixes = received.warmPrefixes.toHashSet()
        report = received
        reportNanos = nowNanos
        correction.reported(nowNanos)
        signal(LeavingSignal.REPORT, received.leaving, nowNanos)
        return models != modelsBefore
    }

    fun started(nowNanos: Long) {
        inFlight++
        correction.started(nowNanos)
    }

    /** Learns the first-token time of an unloaded target from [latencyNanos] at the present load. */
    fun firstToken(latencyNanos: Long) {
        baseNanos += FIRST_TOKEN_WEIGHT * (latencyNanos / loadFactor() - baseNanos)
    }

    fun finished(outcome: CallOutcome, nowNanos: Long) {
        inFlight = maxOf(inFlight - 1, 0)
        correction.ended(nowNanos)
        when (outcome) {
            CallOutcome.ANSWERED -> recovered()
            CallOutcome.FAILED -> failed(nowNanos)
            CallOutcome.DRAINING -> signal(LeavingSignal.REFUSAL, true, nowNanos)
            CallOutcome.CANCELLED -> Unit
        }
    }

    fun signal(signal: LeavingSignal, present: Boolean, nowNanos: Long) {
        if (present) signals[signal] = nowNanos else signals.remove(signal)
        if (signals.isNotEmpty() && machine.tryFire("leave")) leavingSinceNanos = nowNanos
    }

    fun hasFirstHandSignal(): Boolean = signals.keys.any { it != LeavingSignal.PEER }

    /** Ends what has run out: leaving signals and ejections. */
    fun refresh(nowNanos: Long) {
        if (state == LEAVING) {
            signals.entries.removeIf { (signal, since) ->
                signal.lifetime?.let { nowNanos - since > it.inWholeNanoseconds } ?: false
            }
            if (signals.isEmpty()) machine.fire("return")
        } else if (state == EJECTED && nowNanos >= ejectedUntilNanos) {
            machine.fire("readmit")
        }
    }

    fun removed(): Boolean = machine.tryFire("remove")

    fun leavingForNanos(nowNanos: Long): Long = if (state == LEAVING) nowNanos - leavingSinceNanos else 0

    private fun recovered() {
        consecutiveFailures = 0
        ejections = 0
        machine.tryFire("recover")
    }

    private fun failed(nowNanos: Long) {
        consecutiveFailures++
        machine.tryFire("fail")
        if (consecutiveFailures < EJECTION_FAILURES || !machine.tryFire("eject")) return
        val growing = FIRST_EJECTION.inWholeNanoseconds shl minOf(ejections++, LARGEST_EJECTION_DOUBLING)
        ejectedUntilNanos = nowNanos + minOf(growing, LONGEST_EJECTION.inWholeNanoseconds)
    }

    private fun loadFactor(): Double = 1 + RUNNING_REQUEST_COST * running + QUEUED_REQUEST_COST * queued

    internal companion object {
        const val HEALTHY = "healthy"
        const val EJECTED = "ejected"
        const val LEAVING = "leaving"
        const val GONE = "gone"

        /** Keeps the shift below the width of a Long; the longest ejection is reached before. */
        private const val LARGEST_EJECTION_DOUBLING = 10
        private val CHART = StateChart.ofResource(TargetEntry::class.java, "charts/target.toml")
    }
}
