package dev.bergamotwind.admission

import dev.bergamotwind.configuration.Team
import kotlin.math.floor

/** One team's bucket, units and counters at this node. */
internal class TeamShare(var team: Team, witness: RateWitness, nowNanos: Long) {
    val bucket = TokenBucket(nowNanos, witness)
    val demand = DemandMeter(nowNanos)
    val units = sortedSetOf<Int>()
    var fleetTokensPerSecond = Double.POSITIVE_INFINITY
    var offeredTokens = 0L
    var refusedTokens = 0L
    var refusedRequests = 0L
    var refusedInsideRate = 0L

    fun resize(slotDivisor: Int, unitsUsable: Boolean, nowNanos: Long) {
        val slot = if (slotDivisor > 0) SLOT_FRACTION / slotDivisor else 0.0
        val surplus = if (unitsUsable) units.size * UNIT_FRACTION else 0.0
        bucket.resize((slot + surplus) * team.burst.value, (slot + surplus) * team.ratePerSecond.value, nowNanos)
    }

    fun refuse(tokens: Long) {
        refusedRequests++
        refusedTokens += tokens
        if (fleetTokensPerSecond <= team.ratePerSecond.value) refusedInsideRate++
    }

    /** Takes the highest [count] units out with an equal part of the level each; the caller resizes afterwards. */
    fun release(count: Int, unitsUsable: Boolean, nowNanos: Long): List<RateUnit> {
        val numbers = units.toList().takeLast(count)
        val part = bucket.capacity.takeIf { it > 0 && unitsUsable }
            ?.let { bucket.level * UNIT_FRACTION * team.burst.value / it } ?: 0.0
        return numbers.map { number ->
            units -= number
            RateUnit(number, floor(bucket.withdraw(floor(maxOf(part, 0.0)), nowNanos)).toLong())
        }
    }

    companion object {
        /** Part of a team's rate and burst that one unit carries. */
        const val UNIT_FRACTION = (1 - SLOT_FRACTION) / SURPLUS_UNITS
    }
}
