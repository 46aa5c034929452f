package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.peer.MAX_HEARTBEAT_INTERVAL_MILLIS
import dev.bergamotwind.serving.peer.PEER_TIMEOUT_MILLIS
import dev.bergamotwind.serving.peer.SendLimitReport
import dev.bergamotwind.serving.peer.SenderGroup
import dev.bergamotwind.serving.rate.FleetTokenBucket
import dev.bergamotwind.serving.rate.SendPace

/**
 * The limit that one target names for the requests of all VMs together, and what this VM may send under it. Every VM
 * counts all VMs' requests from the heartbeats and repays an excess caused by lag; the equal part of VMs that are not
 * heard from stays reserved for them. Used on the serving loop.
 */
internal class TargetSendLimit(private val createdMillis: Long) {
    private val pace = SendPace()
    private val reportMillis = HashMap<VmId, Long>()
    private var bucket: FleetTokenBucket? = null
    private var equalRate = 0.0

    /** The newest evidence, of this VM or another one. */
    private var newest: LimitEvidence? = null

    /** The newest evidence in answers to this VM. */
    private var own: LimitEvidence? = null

    /** Time up to which the end of the limit is reported to the other VMs. */
    private var reportEndUntilMillis = Long.MIN_VALUE

    /** Requests a second that the target takes from all VMs together, or null while it names no limit. */
    val limitPerSecond: Double? get() = newest?.limitPerSecond

    /**
     * Applies an answer to a request that this VM sent at [sentMillis]. One without a limit counts only if it was sent
     * after the last evidence, because it may have been written before the need.
     */
    fun applyAnswer(limitPerSecond: Double?, sentMillis: Long, nowMillis: Long) {
        val evidence = LimitEvidence(limitPerSecond, if (limitPerSecond == null) sentMillis else nowMillis)
        if (!evidence.isNewerThan(newest)) return
        own = evidence
        adopt(evidence, nowMillis)
    }

    /** Applies the [report] of [peer]; its count restarts with each [incarnation] of the peer. */
    fun applyReport(peer: VmId, incarnation: Long, report: SendLimitReport, nowMillis: Long) {
        applyEvidence(report, nowMillis)
        val isOutdated = report.limitPerSecond != null && limitPerSecond == null
        // The peer may be none of the VMs that send to the target, so that no answer tells it.
        if (isOutdated) reportEndUntilMillis = nowMillis + PEER_TIMEOUT_MILLIS
        applyTotal(peer, incarnation, report.sentRequests, nowMillis)
    }

    /** Refills what this VM may send. [minRatePerSecond] is permitted under any limit, as only an answer lifts it. */
    fun refill(nowMillis: Long, group: SenderGroup, minRatePerSecond: Double) {
        val rate = limitPerSecond?.coerceAtLeast(minRatePerSecond) ?: return
        equalRate = rate / group.size
        val burst = (rate * STORED_SECONDS).coerceAtLeast(1.0)
        val current = bucket ?: FleetTokenBucket(rate, burst, maxDebtBursts = Double.POSITIVE_INFINITY)
        bucket = current
        current.refill(nowMillis, group.reachable.toDouble() / group.size)
        current.configure(rate, burst, nowMillis)
        pace.refill(nowMillis, equalRate, equalRate * group.recentlyHeard, maxOf(1.0, equalRate * STORED_SECONDS))
    }

    /** True when a request may be sent now, according to the last refill. */
    fun mayTake(nowMillis: Long): Boolean {
        pace.recordWanted(nowMillis)
        return (bucket?.level ?: 0.0) >= 1 && pace.level >= 1
    }

    /** Takes the permission for one request; false when there was none. */
    fun tryTake(): Boolean {
        if (bucket?.tryTake(1.0) != true) return false
        pace.take()
        return true
    }

    /** Returns the permission for a request that has not been sent. */
    fun refund() {
        bucket?.refund(1.0)
        pace.refund()
    }

    /** Milliseconds until a request may be sent if the other VMs send none. */
    fun millisUntilAvailable(): Long = maxOf(bucket?.millisUntilAvailable(1.0) ?: 0, pace.millisUntilAvailable())

    /** Returns what the other VMs are to be told, or null when nothing is of interest to them. */
    fun report(nowMillis: Long): SendLimitReport? {
        val limit = limitPerSecond
        if (limit == null && nowMillis >= reportEndUntilMillis) return null
        val age = own?.takeIf { it.limitPerSecond == limit }?.let { nowMillis - it.observedMillis }
        return SendLimitReport(limit, age, bucket?.admittedTotal ?: 0.0)
    }

    private fun applyEvidence(report: SendLimitReport, nowMillis: Long) {
        val age = report.evidenceAgeMillis ?: return
        val limit = report.limitPerSecond
        val isValid = limit == null || (limit >= 0 && limit.isFinite())
        if (age < 0 || !isValid) return
        // The age lacks the delay of the heartbeat, so an end could otherwise seem newer than a limit named after it.
        val delayMillis = if (limit == null) MAX_HEARTBEAT_INTERVAL_MILLIS else 0
        val evidence = LimitEvidence(limit, nowMillis - age - delayMillis)
        val isUsable = evidence.observedMillis >= createdMillis && (limit != null || limitPerSecond != null)
        if (isUsable && evidence.isNewerThan(newest)) adopt(evidence, nowMillis)
    }

    private fun adopt(evidence: LimitEvidence, nowMillis: Long) {
        if (evidence.limitPerSecond == null && limitPerSecond != null) {
            reportEndUntilMillis = nowMillis + PEER_TIMEOUT_MILLIS
        }
        newest = evidence
    }

    private fun applyTotal(peer: VmId, incarnation: Long, total: Double, nowMillis: Long) {
        val current = bucket.takeIf { total.isFinite() } ?: return
        val silentMillis = nowMillis - (reportMillis.put(peer, nowMillis) ?: nowMillis) - PEER_TIMEOUT_MILLIS
        val reservedUnits = equalRate * silentMillis.coerceAtLeast(0) / MILLIS_PER_SECOND
        val deducted = current.applyPeerTotal(peer, incarnation, total, reservedUnits)
        pace.recordPeerUse(deducted)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Seconds of the rate that may be used at once, if that is more than one request. */
        const val STORED_SECONDS = 0.1
    }
}
