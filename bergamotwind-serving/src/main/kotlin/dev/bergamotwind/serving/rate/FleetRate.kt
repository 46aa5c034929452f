package dev.bergamotwind.serving.rate

import dev.bergamotwind.api.VmId

/**
 * The token bucket of one team over all VMs, as this VM sees it: every VM counts what it admits and tells the others
 * its running total, so an excess by lag is paid back instead of adding up. For VMs that are not heard from, their
 * equal part of the rate is set aside; a VM that hears nobody is left with its own part. Used by one thread.
 */
public class FleetRate(private var ratePerSecond: Double, private var burst: Double) {
    private val totals = HashMap<VmId, PeerTotal>()
    private var level = 0.0
    private var updatedMillis: Long? = null

    /** Units that this VM has admitted since its start. */
    public var spent: Double = 0.0
        private set

    /** Takes over a changed rate. */
    public fun configure(ratePerSecond: Double, burst: Double, nowMillis: Long) {
        advance(nowMillis, 1.0)
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        level = level.coerceAtMost(capacity())
    }

    /** Refills the bucket; [heardShare] is the part of all VMs that are heard from, this one included. */
    public fun advance(nowMillis: Long, heardShare: Double) {
        val since = nowMillis - (updatedMillis ?: nowMillis)
        updatedMillis = nowMillis
        level = (level + since * ratePerSecond * RATE_MARGIN * heardShare / MILLIS_PER_SECOND).coerceAtMost(capacity())
    }

    /** Admits [units] if they are available. */
    public fun tryTake(units: Double): Boolean {
        // A request larger than the burst passes when the bucket is full, or it would never pass.
        if (level < units.coerceAtMost(capacity())) return false
        level -= units
        spent += units
        return true
    }

    /** Gives back [units] that were admitted and certainly not used. */
    public fun giveBack(units: Double) {
        level = (level + units).coerceAtMost(capacity())
        spent -= units
    }

    /** Milliseconds until [units] may be available. */
    public fun millisUntil(units: Double): Long {
        val missing = units.coerceAtMost(capacity()) - level
        return (missing / ratePerSecond * MILLIS_PER_SECOND).toLong().coerceIn(LEAST_RETRY_MILLIS, MOST_RETRY_MILLIS)
    }

    /** Takes in the running [total] of [peer], which begins anew with each [incarnation] of it. */
    public fun peerSpent(peer: VmId, incarnation: Long, total: Double) {
        val known = totals[peer]
        val before = if (known?.incarnation == incarnation) known.total else 0.0
        totals[peer] = PeerTotal(incarnation, total)
        val floor = -capacity() * DEBT_LIMIT
        // A VM that was just started does not know which part of a total is recent; the bucket starts empty instead.
        if (known != null) level = (level - (total - before)).coerceIn(floor, capacity())
    }

    private fun capacity() = burst * BURST_MARGIN

    private class PeerTotal(val incarnation: Long, val total: Double)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
