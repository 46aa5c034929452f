package dev.bergamotwind.serving.rate

import dev.bergamotwind.api.VmId

/**
 * The token bucket of one team over all VMs, as this VM sees it: every VM counts what it admits and tells the others
 * its running total, so an excess by lag is paid back instead of adding up. For VMs that are not heard from, their
 * equal part of the rate is set aside; a VM that hears nobody is left with its own part. Used by one thread.
 */
public class FleetTokenBucket(
    private var ratePerSecond: Double,
    private var burst: Double,
    /** Units that all VMs may admit beyond the rate and burst because of their lag. */
    private val tolerance: Double = 0.0,
    /** True when the team cannot have used anything yet; otherwise the bucket starts with the tolerance only. */
    isFull: Boolean = false,
) {
    private val totals = HashMap<VmId, PeerTotal>()
    private var updatedMillis: Long? = null
    private var startedMillis: Long? = null

    /** Units that may be admitted now; negative after an excess. */
    public var level: Double = if (isFull) capacity() else tolerance
        private set

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
        if (startedMillis == null) startedMillis = nowMillis
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
        val current = known?.takeIf { it.incarnation == incarnation }
            ?: PeerTotal(incarnation, 0.0).also { totals[peer] = it }
        val before = current.total
        current.total = total
        val floor = -capacity() * DEBT_LIMIT
        // A VM that was just started does not know which part of a total is recent; see adopt.
        if (known != null) level = (level - (total - before)).coerceIn(floor, capacity())
    }

    /**
     * Takes over [peerLevel], what [peer] believes is in the bucket, if this VM has just started: it cannot know what
     * the team has left, and would refuse requests inside the rate until the bucket has filled.
     */
    public fun adopt(peer: VmId, peerLevel: Double) {
        val known = totals[peer] ?: return
        val age = (updatedMillis ?: 0) - (startedMillis ?: 0)
        if (known.isAdopted || age > ADOPTION_MILLIS) return
        known.isAdopted = true
        level = maxOf(level, peerLevel.coerceAtMost(capacity()))
    }

    private fun capacity() = burst * BURST_MARGIN + tolerance

    private class PeerTotal(val incarnation: Long, var total: Double) {
        var isAdopted = false
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
