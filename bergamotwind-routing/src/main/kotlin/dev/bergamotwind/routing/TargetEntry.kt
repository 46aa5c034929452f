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

/** State that this node keeps about one target. Guarded by the lock of [TargetTable]. */
internal class TargetEntry(override var target: Target, monitor: InvariantMonitor) : TargetView {
    private val stateMachine = StateMachine(CHART, monitor)
    private val loadCorrection = LoadCorrection()
    private val leavingSignals = EnumMap<LeavingSignal, Long>(LeavingSignal::class.java)
    private var adapters: Map<AdapterId, ArtifactState> = emptyMap()
    private var warmPrefixes: Set<String> = emptySet()
    private var idleFirstTokenNanos = ASSUMED_FIRST_TOKEN_TIME.inWholeNanoseconds.toDouble()
    private var reportReceivedNanos = 0L
    private var consecutiveFailures = 0
    private var ejectionCount = 0
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
    override val state: String get() = stateMachine.state
    override val running: Int get() = maxOf((report?.running ?: 0) + if (isQueueing) 0 else loadCorrection.netStarts, 0)
    override val queued: Int get() = if (isQueueing) maxOf((report?.queued ?: 0) + loadCorrection.netStarts, 0) else 0
    override val predictedFirstTokenNanos: Long get() = (idleFirstTokenNanos * loadFactor()).toLong()

    // An engine queues requests only while its batch is full, so further requests join the queue.
    private val isQueueing: Boolean get() = (report?.queued ?: 0) > 0

    override fun adapterState(adapter: AdapterId): ArtifactState? = adapters[adapter]

    override fun hasWarmPrefix(prefixHash: String): Boolean = prefixHash in warmPrefixes

    fun runsPrefillAndDecode(): Boolean = report.let { it == null || it.role == EngineRole.BOTH }

    /**
     * Applies [received] unless it is older than the last accepted report. Returns true when the set of loaded models
     * has changed.
     */
    fun applyReport(received: EngineReport, nowNanos: Long): Boolean {
        val previous = report
        val timedOut = nowNanos - reportReceivedNanos > REPORT_ORDER_TIMEOUT.inWholeNanoseconds
        if (previous != null && received.wallMillis <= previous.wallMillis && !timedOut) return false
        val modelsBefore = models
        if (previous?.artifacts != received.artifacts) {
            val loaded = received.artifacts.filter { it.state == ArtifactState.LOADED && it.artifact.adapter == null }
            models = loaded.mapTo(HashSet()) { it.artifact.model }
            adapters = received.artifacts.mapNotNull { entry ->
                entry.artifact.adapter?.let { it to entry.state }
            }.toMap()
        }
        if (previous?.warmPrefixes != received.warmPrefixes) warmPrefixes = received.warmPrefixes.toHashSet()
        report = received
        reportReceivedNanos = nowNanos
        loadCorrection.discardReported(nowNanos)
        setLeavingSignal(LeavingSignal.REPORT, received.leaving, nowNanos)
        return models != modelsBefore
    }

    fun recordCallStart(nowNanos: Long) {
        inFlight++
        loadCorrection.addStart(nowNanos)
    }

    /** Updates the estimated first-token time of the idle target from [latencyNanos], measured at the present load. */
    fun recordFirstToken(latencyNanos: Long) {
        idleFirstTokenNanos += FIRST_TOKEN_SMOOTHING_FACTOR * (latencyNanos / loadFactor() - idleFirstTokenNanos)
    }

    fun recordCallEnd(outcome: CallOutcome, nowNanos: Long) {
        inFlight = maxOf(inFlight - 1, 0)
        loadCorrection.addEnd(nowNanos)
        when (outcome) {
            CallOutcome.ANSWERED -> handleSuccess()
            CallOutcome.FAILED -> handleFailure(nowNanos)
            CallOutcome.DRAINING -> setLeavingSignal(LeavingSignal.REFUSAL, true, nowNanos)
            CallOutcome.CANCELLED -> Unit
        }
    }

    fun setLeavingSignal(signal: LeavingSignal, present: Boolean, nowNanos: Long) {
        if (present) leavingSignals[signal] = nowNanos else leavingSignals.remove(signal)
        if (leavingSignals.isNotEmpty() && stateMachine.tryFire("leave")) leavingSinceNanos = nowNanos
    }

    /** Whether any source other than a peer says that the target is leaving. */
    fun hasDirectLeavingSignal(): Boolean = leavingSignals.keys.any { it != LeavingSignal.PEER }

    /** Ends leaving signals and an ejection whose time is over. */
    fun expireSignalsAndEjection(nowNanos: Long) {
        if (state == LEAVING) {
            leavingSignals.entries.removeIf { (signal, receivedNanos) ->
                signal.lifetime?.let { nowNanos - receivedNanos > it.inWholeNanoseconds } ?: false
            }
            if (leavingSignals.isEmpty()) stateMachine.fire("return")
        } else if (state == EJECTED && nowNanos >= ejectedUntilNanos) {
            stateMachine.fire("readmit")
        }
    }

    fun tryRemove(): Boolean = stateMachine.tryFire("remove")

    fun leavingDurationNanos(nowNanos: Long): Long = if (state == LEAVING) nowNanos - leavingSinceNanos else 0

    private fun handleSuccess() {
        consecutiveFailures = 0
        ejectionCount = 0
        stateMachine.tryFire("recover")
    }

    private fun handleFailure(nowNanos: Long) {
        consecutiveFailures++
        stateMachine.tryFire("fail")
        if (consecutiveFailures < EJECTION_FAILURE_THRESHOLD || !stateMachine.tryFire("eject")) return
        val duration = INITIAL_EJECTION.inWholeNanoseconds shl minOf(ejectionCount++, MAX_EJECTION_DOUBLINGS)
        ejectedUntilNanos = nowNanos + minOf(duration, MAX_EJECTION.inWholeNanoseconds)
    }

    private fun loadFactor(): Double = 1 + RUNNING_REQUEST_COST * running + QUEUED_REQUEST_COST * queued

    internal companion object {
        const val HEALTHY = "healthy"
        const val EJECTED = "ejected"
        const val LEAVING = "leaving"
        const val GONE = "gone"

        /** Keeps the shift within the width of a Long; the duration reaches [MAX_EJECTION] at fewer doublings. */
        private const val MAX_EJECTION_DOUBLINGS = 10
        private val CHART = StateChart.ofResource(TargetEntry::class.java, "charts/target.toml")
    }
}
