package dev.bergamotwind.admission

import dev.bergamotwind.api.VmId
import dev.bergamotwind.configuration.Team
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.max
import kotlin.math.min

/**
 * Allocates a team's surplus units to the nodes by demand. Every node computes the allocation of all nodes from the
 * digests it has and acts only on its own part. Differing views can cause refusals but never exceed the rate, since a
 * unit has a single holder.
 *
 * A node needs units for the demand above its slot share, and for its largest request, which must fit into one bucket.
 * Needs are met first, proportionally when there are too few units; the remaining units are spread evenly, so that an
 * idle node can serve a burst. [entrySlots] is assumed as the number of nodes while digests show fewer.
 */
public class UnitAllocationPolicy(private val entrySlots: Int) {
    private class NodeAllocation(val vm: VmId?, val needed: Int, val held: Int, val tieBreak: Int) {
        var desiredUnits = 0
        val shortfall get() = max(0, min(needed, desiredUnits) - held)
        val excess get() = max(0, held - desiredUnits)
    }

    /** Plans the units of [team] at [self], which holds [held] of them; [demand] has entries of this team only. */
    public fun plan(team: Team, self: VmId, held: Int, demand: List<TeamDemand>): UnitPlan {
        val headroomFactor = DEMAND_HEADROOM_FACTORS.firstOrNull { factor ->
            demand.sumOf { unitsNeeded(team, it, factor) } <= SURPLUS_UNITS
        } ?: DEMAND_HEADROOM_FACTORS.last()
        val reportingNodes = demand.map { entry ->
            val heldUnits = if (entry.vm == self) held else entry.unitsHeld
            NodeAllocation(entry.vm, unitsNeeded(team, entry, headroomFactor), heldUnits, tieBreak(team, entry.vm))
        }
        val own = reportingNodes.firstOrNull { it.vm == self } ?: NodeAllocation(self, 0, held, tieBreak(team, self))
        val knownNodes = if (own in reportingNodes) reportingNodes else reportingNodes + own
        val unknownNodes = List(max(0, entrySlots - knownNodes.size)) { NodeAllocation(null, 0, 0, Int.MAX_VALUE) }
        assignDesiredUnits(knownNodes + unknownNodes)
        return UnitPlan(own.desiredUnits, unitsToRelease(own, knownNodes), own.needed)
    }

    private fun unitsNeeded(team: Team, entry: TeamDemand, headroomFactor: Double): Int {
        if (entry.tokensPerSecond <= 0) return 0
        val slotShare = SLOT_FRACTION / entrySlots
        val unitRate = team.ratePerSecond.value * TeamRateShare.UNIT_FRACTION
        val unitBurst = team.burst.value * TeamRateShare.UNIT_FRACTION
        val forRate = (entry.tokensPerSecond * headroomFactor - team.ratePerSecond.value * slotShare) / unitRate
        val forLargest = (entry.largestRequest - team.burst.value * slotShare) / unitBurst
        return ceil(max(forRate, forLargest)).coerceIn(0.0, SURPLUS_UNITS.toDouble()).toInt()
    }

    private fun assignDesiredUnits(allocations: List<NodeAllocation>) {
        val totalNeeded = allocations.sumOf { it.needed }
        if (totalNeeded <= SURPLUS_UNITS) {
            allocations.forEach { it.desiredUnits = it.needed }
        } else {
            allocations.forEach { it.desiredUnits = floor(SURPLUS_UNITS.toDouble() * it.needed / totalNeeded).toInt() }
        }
        repeat(SURPLUS_UNITS - allocations.sumOf { it.desiredUnits }) {
            val receiver = if (totalNeeded > SURPLUS_UNITS) {
                allocations.filter { it.needed > it.desiredUnits }
                    .maxWith(compareBy({ proportionalShortfall(it, totalNeeded) }, { -it.tieBreak }))
            } else {
                allocations.minWith(compareBy({ it.desiredUnits }, { it.tieBreak }))
            }
            receiver.desiredUnits++
        }
    }

    private fun proportionalShortfall(allocation: NodeAllocation, totalNeeded: Int): Double =
        SURPLUS_UNITS.toDouble() * allocation.needed / totalNeeded - allocation.desiredUnits

    private fun unitsToRelease(own: NodeAllocation, allocations: List<NodeAllocation>): Int {
        val unheld = max(0, SURPLUS_UNITS - allocations.sumOf { it.held })
        val unmet = allocations.filter { it !== own }.sumOf { it.shortfall } - unheld
        if (unmet <= 0 || own.excess == 0) return 0
        val totalExcess = allocations.sumOf { it.excess }
        return min(own.excess, ceil(unmet.toDouble() * own.excess / totalExcess).toInt())
    }

    // Depends on the team, so that it is not the same nodes that get an extra unit of every team.
    private fun tieBreak(team: Team, vm: VmId): Int = (team.id.value + ":" + vm.value).hashCode()
}
