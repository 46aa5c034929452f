package dev.bergamotwind.serving.rate

import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.catalogue.ServedTeam

/** Rate limiter of all teams over all VMs. Used on the serving loop. */
public class FleetRateLimiter(
    private val loop: ServingLoop,
    /** Tokens that a team may use beyond its rate and burst, over all VMs. */
    private val toleratedTokens: Double,
    private val reachableShare: () -> Double,
) {
    private val buckets = HashMap<TeamId, FleetTokenBucket>()

    /** Called when this VM has admitted so much of a team's burst that the other VMs should be informed at once. */
    public var onLargeUse: (() -> Unit)? = null
    private var unreportedUnits = HashMap<TeamId, Double>()

    /** Applies the rates of a new configuration. With [startFull] the buckets of new teams start full. */
    public fun configure(teams: List<ServedTeam>, startFull: Boolean) {
        val limited = teams.filter { it.ratePerSecond > 0 }
        buckets.keys.retainAll(limited.mapTo(HashSet()) { it.id })
        for (team in limited) {
            val burst = maxOf(team.burst, 1.0)
            val known = buckets[team.id]
            if (known == null) {
                val tolerance = if (team.countsTokens) toleratedTokens * TOLERANCE_SHARE_USED else 0.0
                buckets[team.id] = FleetTokenBucket(team.ratePerSecond, burst, tolerance, startFull)
            } else {
                known.configure(team.ratePerSecond, burst, loop.nowMillis())
            }
        }
    }

    /** Admits [units] of [team] and returns null, or returns the milliseconds until a retry may be admitted. */
    public fun admit(team: ServedTeam, units: Double): Long? {
        val bucket = buckets[team.id] ?: return null
        bucket.refill(loop.nowMillis(), reachableShare())
        if (!bucket.tryTake(units)) return bucket.millisUntilAvailable(units)
        val sum = (unreportedUnits[team.id] ?: 0.0) + units
        unreportedUnits[team.id] = sum
        if (sum > team.burst * REPORT_AT_ONCE_SHARE) onLargeUse?.invoke()
        return null
    }

    /** Units that [team] may use now according to this VM, or null when its rate is not limited. */
    internal fun level(team: TeamId): Double? = buckets[team]?.level

    /** Share of all VMs whose use of the rates is known to this VM, itself included. */
    internal val heardShare: Double get() = reachableShare()

    /** Returns [units] to the bucket of [team] that were admitted for a request that certainly did not run. */
    public fun refund(team: TeamId, units: Double) {
        buckets[team]?.refund(units)
    }

    /** Running totals of admitted units on this VM, by team, to be sent to the other VMs. */
    public fun admittedTotals(): Map<TeamId, Double> = buckets.mapValues { it.value.admittedTotal }

    /** Marks the running totals as sent to all VMs. */
    public fun markReported(): Unit = unreportedUnits.clear()

    /** Units that each team may still use according to this VM, to be sent to VMs that have just started. */
    public fun levels(): Map<TeamId, Double> {
        refillAll()
        return buckets.mapValues { it.value.level }
    }

    /** Applies the running totals of [peer], and the [levels] that it sends to VMs that have just started. */
    public fun applyPeerTotals(
        peer: VmId,
        incarnation: Long,
        totals: Map<TeamId, Double>,
        levels: Map<TeamId, Double> = emptyMap(),
    ) {
        refillAll()
        for ((team, bucket) in buckets) {
            totals[team]?.let { bucket.applyPeerTotal(peer, incarnation, it) }
            levels[team]?.let { bucket.adoptLevel(peer, it) }
        }
    }

    // The share is computed over all VMs, so it is computed once for all teams.
    private fun refillAll() {
        val now = loop.nowMillis()
        val share = reachableShare()
        buckets.values.forEach { it.refill(now, share) }
    }
}
