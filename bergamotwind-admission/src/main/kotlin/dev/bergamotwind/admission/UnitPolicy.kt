package dev.bergamotwind.admission

import dev.bergamotwind.api.VmId
import dev.bergamotwind.configuration.Team
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.max
import kotlin.math.min

/**
 * Divides a team's surplus units among the nodes by demand. Every node computes the division from the digests it has
 * and acts only on its own part, so different views cost refusals but never the rate: a unit has one holder.
 *
 * A node needs units for the demand above its slot share and for its largest request, which must fit into one bucket.
 * Needs are met first, in proportion when there are too few units; the rest is spread evenly, so that an idle node can
 * take a burst. [entrySlots] stands for the number of nodes while digests show fewer.
 */
public class UnitPolicy(private val entrySlots: Int) {
    private class Place(val vm: VmId?, val need: Int, val held: Int, val order: Int) {
        var target = 0
        val lacking get() = max(0, min(need, target) - held)
        val surplus get() = max(0, held - target)
    }

    /** Plans for [self], which holds [held] units of [team]; [demand] has entries of this team only. */
    public fun plan(team: Team, self: VmId, held: Int, demand: List<TeamDemand>): UnitPlan {
        val headroom = DEMAND_HEADROOMS.firstOrNull { factor ->
            demand.sumOf { need(team, it, factor) } <= SURPLUS_UNITS
        } ?: DEMAND_HEADROOMS.last()
        val known = demand.map { entry ->
            val holds = if (entry.vm == self) held else entry.unitsHeld
            Place(entry.vm, need(team, entry, headroom), holds, order(team, entry.vm))
        }
        val own = known.firstOrNull { it.vm == self } ?: Place(self, 0, held, order(team, self))
        val present = if (own in known) known else known + own
        val unseen = List(max(0, entrySlots - present.size)) { Place(null, 0, 0, Int.MAX_VALUE) }
        divide(present + unseen)
        return UnitPlan(own.target, giveBack(own, present), own.need)
    }

    private fun need(team: Team, entry: TeamDemand, headroom: Double): Int {
        if (entry.tokensPerSecond <= 0) return 0
        val slot = SLOT_FRACTION / entrySlots
        val unitRate = team.ratePerSecond.value * TeamShare.UNIT_FRACTION
        val unitBurst = team.burst.value * TeamShare.UNIT_FRACTION
        val forRate = (entry.tokensPerSecond * headroom - team.ratePerSecond.value * slot) / unitRate
        val forLargest = (entry.largestRequest - team.burst.value * slot) / unitBurst
        return ceil(max(forRate, forLargest)).coerceIn(0.0, SURPLUS_UNITS.toDouble()).toInt()
    }

    private fun divide(places: List<Place>) {
        val needed = places.sumOf { it.need }
        if (needed <= SURPLUS_UNITS) {
            places.forEach { it.target = it.need }
        } else {
            places.forEach { it.target = floor(SURPLUS_UNITS.toDouble() * it.need / needed).toInt() }
        }
        repeat(SURPLUS_UNITS - places.sumOf { it.target }) {
            val next = if (needed > SURPLUS_UNITS) {
                places.filter { it.need > it.target }.maxWith(compareBy({ missing(it, needed) }, { -it.order }))
            } else {
                places.minWith(compareBy({ it.target }, { it.order }))
            }
            next.target++
        }
    }

    private fun missing(place: Place, needed: Int): Double =
        SURPLUS_UNITS.toDouble() * place.need / needed - place.target

    private fun giveBack(own: Place, places: List<Place>): Int {
        val free = max(0, SURPLUS_UNITS - places.sumOf { it.held })
        val lacking = places.filter { it !== own }.sumOf { it.lacking } - free
        if (lacking <= 0 || own.surplus == 0) return 0
        val surplus = places.sumOf { it.surplus }
        return min(own.surplus, ceil(lacking.toDouble() * own.surplus / surplus).toInt())
    }

    // Differs by team, so that the nodes that get one unit more are not the same for every team.
    private fun order(team: Team, vm: VmId): Int = (team.id.value + ":" + vm.value).hashCode()
}
