package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.peer.SendLimitReport
import dev.bergamotwind.serving.peer.SenderGroup
import kotlin.math.abs

/**
 * Keeps the limits that targets name for the requests of all VMs together: learns them from answers and from the other
 * VMs, and tells which targets this VM may send to. Used on the serving loop.
 */
internal class TargetSendLimits(
    private val registry: TargetRegistry,
    private val loop: ServingLoop,
    /** Milliseconds in which at least one request is permitted under any limit, as only an answer can lift it. */
    contactMillis: Long,
    private val recorder: EventRecorder,
    /** Returns the VMs that may send to a target, at most as many as the number passed. */
    private val senders: (TargetId, Int) -> SenderGroup,
    /** Called when a request was sent to a limited target, so that the other VMs are told. */
    private val onUse: () -> Unit,
) {
    private val minRatePerSecond = MILLIS_PER_SECOND / contactMillis

    /** True unless [target] is at its limit, or this VM is none of those that may send to it. */
    fun maySend(target: TargetState): Boolean {
        val limit = target.sendLimit
        if (limit.limitPerSecond == null) return true
        return refill(target).includesThisVm && limit.mayTake(loop.nowMillis())
    }

    /** Records that a request is sent to [target]; true when it counts towards a limit. */
    fun recordSent(target: TargetState): Boolean {
        if (target.sendLimit.limitPerSecond == null || !target.sendLimit.tryTake()) return false
        onUse()
        return true
    }

    /** Records that a request that counted towards the limit of [target] has not reached it. */
    fun refund(target: TargetState): Unit = target.sendLimit.refund()

    /** Milliseconds until this VM may send to one of [targets], which are all limited. */
    fun millisUntilAvailable(targets: List<TargetState>): Long {
        val own = targets.filter { refill(it).includesThisVm }.minOfOrNull { it.sendLimit.millisUntilAvailable() }
        if (own != null) return own
        val sum = targets.sumOf { (it.sendLimit.limitPerSecond ?: 0.0).coerceAtLeast(minRatePerSecond) }
        return (MILLIS_PER_SECOND / sum).toLong()
    }

    /** Applies an answer of [target] to a request sent at [sentMillis]; [limitPerSecond] is null if it names none. */
    fun applyAnswer(target: TargetState, limitPerSecond: Double?, sentMillis: Long): Unit =
        recordChange(target, "answer") { it.applyAnswer(limitPerSecond, sentMillis, loop.nowMillis()) }

    /** Applies the [reports] of [peer], whose counts restart with each [incarnation]. */
    fun applyReports(peer: VmId, incarnation: Long, reports: Map<TargetId, SendLimitReport>) {
        for ((id, report) in reports) {
            val target = registry.target(id) ?: continue
            refill(target)
            recordChange(target, "peer") { it.applyReport(peer, incarnation, report, loop.nowMillis()) }
        }
    }

    /** Returns what the other VMs are to be told. */
    fun reports(): Map<TargetId, SendLimitReport> {
        val reports = HashMap<TargetId, SendLimitReport>()
        for (target in registry.all) {
            if (target.sendLimit.limitPerSecond != null) refill(target)
            target.sendLimit.report(loop.nowMillis())?.let { reports[target.record.id] = it }
        }
        return reports
    }

    private fun refill(target: TargetState): SenderGroup {
        val group = senders(target.record.id, senderLimit(target.sendLimit.limitPerSecond ?: 0.0))
        target.sendLimit.refill(loop.nowMillis(), group, minRatePerSecond)
        return group
    }

    private fun recordChange(target: TargetState, source: String, change: (TargetSendLimit) -> Unit) {
        val before = target.sendLimit.limitPerSecond
        change(target.sendLimit)
        val after = target.sendLimit.limitPerSecond
        when {
            after == null && before != null -> recorder.event("target.unlimited") {
                field("target", target.record.id)
                field("source", source)
            }

            after != null && (before == null || abs(after - before) > before * NOTICEABLE_CHANGE) ->
                recorder.event("target.limited") {
                    field("target", target.record.id)
                    field("limit", after)
                    field("source", source)
                }
        }
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1_000.0

        /** Seconds of the platform's window in which the requests that a limited target gets are counted. */
        private const val WINDOW_SECONDS = 4

        /** The platform permits this multiple of the limit in a window, and [PERMITTED_REQUESTS] more. */
        private const val PERMITTED_FACTOR = 1.5
        private const val PERMITTED_REQUESTS = 5

        /** Share of what the platform permits beyond the limit that covers requests of VMs not heard from yet. */
        private const val LAG_SHARE = 0.5

        /** Share of a limit by which it has to change for the change to be recorded. */
        private const val NOTICEABLE_CHANGE = 0.1

        /**
         * Returns how many VMs may send to a target that takes [limitPerSecond]. Each of them may use a stored request
         * at the same moment, which together must not exceed what the platform permits beyond the limit.
         */
        fun senderLimit(limitPerSecond: Double): Int {
            val excess = limitPerSecond * (PERMITTED_FACTOR - 1) * WINDOW_SECONDS
            return (excess * (1 - LAG_SHARE) + PERMITTED_REQUESTS - 1).toInt()
        }
    }
}
