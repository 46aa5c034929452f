package dev.bergamotwind.serving.rate

import dev.bergamotwind.api.VmId

/**
 * Token bucket of one team over all VMs, as seen by this VM. Every VM counts the units that it admits and sends its
 * running total to the others, so that an excess caused by lag is paid back instead of accumulating. VMs that are not
 * heard from are assumed to use their equal share of the rate; a VM that hears from no other VM is left with its own
 * share. Used by one thread.
 */
public class FleetTokenBucket(
    private var ratePerSecond: Double,
    private var burst: Double,
    /** Units that all VMs may admit beyond the rate and burst because of their lag. */
    private val tolerance: Double = 0.0,
    /** True when the team cannot have used anything yet; otherwise the bucket starts with the tolerance only. */
    isFull: Boolean = false,
    /** Largest debt after an excess caused by lag, in bursts. */
    private val maxDebtBursts: Double = MAX_DEBT_BURSTS,
) {
    private val peerTotals = HashMap<VmId, PeerTotal>()
    private var updatedMillis: Long? = null
    private var startedMillis: Long? = null

    /** Units that may be admitted now; negative after an excess. */
    public var level: Double = if (isFull) capacity() else tolerance
        private set

    /** Units that this VM has admitted since its start. */
    public var admittedTotal: Double = 0.0
        private set

    /** Applies a changed rate and burst. */
    public fun configure(ratePerSecond: Double, burst: Double, nowMillis: Long) {
        refill(nowMillis, 1.0)
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        level = level.coerceAtMost(capacity())
    }

    /** Refills the bucket; [reachableShare] is the share of all VMs that are heard from, including this one. */
    public fun refill(nowMillis: Long, reachableShare: Double) {
        val since = nowMillis - (updatedMillis ?: nowMillis)
        updatedMillis = nowMillis
        if (startedMillis == null) startedMillis = nowMillis
        level = (level + since * ratePerSecond * RATE_MARGIN * reachableShare / MILLIS_PER_SECOND)
            .coerceAtMost(capacity())
    }

    /** Admits [units] if they are available. */
    public fun tryTake(units: Double): Boolean {
        // A request larger than the bucket is admitted when the bucket is full; otherwise it never would be.
        if (level < units.coerceAtMost(capacity())) return false
        level -= units
        admittedTotal += units
        return true
    }

    /** Returns [units] that were admitted and certainly not used. */
    public fun refund(units: Double) {
        level = (level + units).coerceAtMost(capacity())
        admittedTotal -= units
    }

    /** Milliseconds until [units] may be available. */
    public fun millisUntilAvailable(units: Double): Long {
        val missing = units.coerceAtMost(capacity()) - level
        return (missing / ratePerSecond * MILLIS_PER_SECOND).toLong()
            .coerceIn(MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS)
    }

    /**
     * Applies the running [total] of [peer], which restarts with each [incarnation] of the peer, and returns the units
     * that were deducted. [reservedUnits] are those that were left to the peer while it was not heard from.
     */
    public fun applyPeerTotal(peer: VmId, incarnation: Long, total: Double, reservedUnits: Double = 0.0): Double {
        val known = peerTotals[peer]
        val current = known?.takeIf { it.incarnation == incarnation }
            ?: PeerTotal(incarnation, 0.0).also { peerTotals[peer] = it }
        val before = current.total
        current.total = total
        // The first total of a peer is not deducted, because it is unknown which part of it is recent; see adoptLevel.
        if (known == null) return 0.0
        val used = total - before
        val deducted = if (reservedUnits > 0) (used - reservedUnits).coerceAtLeast(0.0) else used
        level = (level - deducted).coerceIn(-capacity() * maxDebtBursts, capacity())
        return deducted
    }

    /**
     * Adopts [peerLevel], the level of the bucket according to [peer], if this VM has just started: it cannot know what
     * the team has left, and would refuse requests inside the rate until the bucket has filled.
     */
    public fun adoptLevel(peer: VmId, peerLevel: Double) {
        val known = peerTotals[peer] ?: return
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
