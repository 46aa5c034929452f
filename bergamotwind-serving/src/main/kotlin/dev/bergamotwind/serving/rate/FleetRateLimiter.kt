package dev.bergamotwind.serving.rate

import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.catalogue.ServedTeam

/** The rates of all teams. Used on the serving loop. */
public class FleetRateLimiter(
    private val loop: ServingLoop,
    /** Tokens that a team may use beyond its rate and burst, over all VMs. */
    private val toleratedTokens: Double,
    private val heardShare: () -> Double,
) {
    private val rates = HashMap<TeamId, FleetTokenBucket>()

    /** Called when this VM has admitted so much of a team's burst that the others should know at once. */
    public var onLargeSpending: (() -> Unit)? = null
    private var untold = HashMap<TeamId, Double>()

    /** Takes over the rates of a new configuration. With [areUnused] the new ones among the teams start full. */
    public fun configure(teams: List<ServedTeam>, areUnused: Boolean) {
        val limited = teams.filter { it.ratePerSecond > 0 }
        rates.keys.retainAll(limited.mapTo(HashSet()) { it.id })
        for (team in limited) {
            val burst = maxOf(team.burst, 1.0)
            val known = rates[team.id]
            if (known == null) {
                val tolerance = if (team.countsTokens) toleratedTokens * TOLERANCE_SHARE_USED else 0.0
                rates[team.id] = FleetTokenBucket(team.ratePerSecond, burst, tolerance, areUnused)
            } else {
                known.configure(team.ratePerSecond, burst, loop.nowMillis())
            }
        }
    }

    /** Admits [units] of [team]; otherwise returns the milliseconds until a repeat may be admitted. */
    public fun take(team: ServedTeam, units: Double): Long? {
        val rate = rates[team.id] ?: return null
        rate.advance(loop.nowMillis(), heardShare())
        if (!rate.tryTake(units)) return rate.millisUntil(units)
        val sum = (untold[team.id] ?: 0.0) + units
        untold[team.id] = sum
        if (sum > team.burst * TELL_AT_ONCE_SHARE) onLargeSpending?.invoke()
        return null
    }

    /** Gives back [units] that [team] was admitted for and that did certainly not run. */
    public fun giveBack(team: TeamId, units: Double) {
        rates[team]?.giveBack(units)
    }

    /** Running totals of this VM, to be told to the others. */
    public fun totals(): Map<TeamId, Double> = rates.mapValues { it.value.spent }

    /** The running totals have been told to all VMs. */
    public fun told(): Unit = untold.clear()

    /** What this VM believes each team may still use, to be told to VMs that have just started. */
    public fun levels(): Map<TeamId, Double> {
        advanceAll()
        return rates.mapValues { it.value.level }
    }

    /** Takes in the running totals of [peer], and the [levels] that it tells to VMs that have just started. */
    public fun peerSpent(
        peer: VmId,
        incarnation: Long,
        totals: Map<TeamId, Double>,
        levels: Map<TeamId, Double> = emptyMap(),
    ) {
        advanceAll()
        for ((team, rate) in rates) {
            totals[team]?.let { rate.peerSpent(peer, incarnation, it) }
            levels[team]?.let { rate.adopt(peer, it) }
        }
    }

    // The share is counted over all VMs, so once for all teams.
    private fun advanceAll() {
        val now = loop.nowMillis()
        val share = heardShare()
        rates.values.forEach { it.advance(now, share) }
    }
}
