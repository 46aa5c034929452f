package dev.bergamotwind.admission

import dev.bergamotwind.configuration.Team
import kotlin.math.floor

/** The token bucket, surplus units and counters of one team at this node. */
internal class TeamRateShare(var team: Team, invariantChecker: RateInvariantChecker, nowNanos: Long) {
    val bucket = TokenBucket(nowNanos, invariantChecker)
    val demand = DemandMeter(nowNanos)
    val units = sortedSetOf<Int>()
    var fleetTokensPerSecond = Double.POSITIVE_INFINITY
    var offeredTokens = 0L
    var refusedTokens = 0L
    var refusedRequests = 0L
    var refusedInsideRate = 0L

    fun resize(slotDivisor: Int, unitsUsable: Boolean, nowNanos: Long) {
        val slotFraction = if (slotDivisor > 0) SLOT_FRACTION / slotDivisor else 0.0
        val unitsFraction = if (unitsUsable) units.size * UNIT_FRACTION else 0.0
        val fraction = slotFraction + unitsFraction
        bucket.resize(fraction * team.burst.value, fraction * team.ratePerSecond.value, nowNanos)
    }

    fun recordRefusal(tokens: Long) {
        refusedRequests++
        refusedTokens += tokens
        if (fleetTokensPerSecond <= team.ratePerSecond.value) refusedInsideRate++
    }

    /** Removes the [count] highest units, each with an equal part of the level; the caller must resize afterwards. */
    fun releaseUnits(count: Int, unitsUsable: Boolean, nowNanos: Long): List<RateUnit> {
        val numbers = units.toList().takeLast(count)
        val levelPerUnit = bucket.capacity.takeIf { it > 0 && unitsUsable }
            ?.let { bucket.level * UNIT_FRACTION * team.burst.value / it } ?: 0.0
        return numbers.map { number ->
            units -= number
            RateUnit(number, floor(bucket.withdraw(floor(maxOf(levelPerUnit, 0.0)), nowNanos)).toLong())
        }
    }

    companion object {
        /** Fraction of a team's rate and burst that one unit stands for. */
        const val UNIT_FRACTION = (1 - SLOT_FRACTION) / SURPLUS_UNITS
    }
}
