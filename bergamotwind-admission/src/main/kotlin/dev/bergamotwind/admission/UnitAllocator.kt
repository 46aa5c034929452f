package dev.bergamotwind.admission

import arrow.core.getOrElse
import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.KeyRange
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.VmId
import kotlinx.serialization.json.Json

/**
 * Acquires and returns surplus units. Every change reads the team's records first and is one transaction conditional
 * on what was read, so the next reading resolves a lost or late answer:
 *  - a record with this node's lease that the node does not hold was acquired by a write whose answer was lost; the
 *    unit is adopted with an empty level;
 *  - a unit whose return is pending and whose record no longer has this node's lease has been returned.
 */
internal class UnitAllocator(
    private val service: KeyValueService,
    private val vm: VmId,
    private val buckets: RateShareBuckets,
) {
    private class TeamUnits {
        val held = sortedSetOf<Int>()
        val pendingReturns = sortedMapOf<Int, Long>()
        var outcomeUnknown = false
    }

    private val unitsByTeam = HashMap<TeamId, TeamUnits>()

    /** Number of units of [team] that this node currently uses. */
    fun heldCount(team: TeamId): Int = unitsByTeam[team]?.held?.size ?: 0

    /** Teams with changes whose outcome has to be read back or that have to be retried. */
    fun unresolvedTeams(): List<TeamId> =
        unitsByTeam.filterValues { it.outcomeUnknown || it.pendingReturns.isNotEmpty() }.keys.sorted()

    /** Discards the local state of all units because the lease has ended. */
    fun clear() {
        unitsByTeam.clear()
    }

    /** Stops using the units of teams other than [kept]; a later [reconcile] returns their records. */
    fun retainTeams(kept: Set<TeamId>) {
        unitsByTeam.filterKeys { it !in kept }.forEach { (team, units) ->
            stopUsing(team, units, units.held.size)
            // The buckets may already have dropped the team together with its levels.
            units.held.forEach { units.pendingReturns[it] = 0 }
            units.held.clear()
        }
        unitsByTeam.values.removeIf { it.held.isEmpty() && it.pendingReturns.isEmpty() && !it.outcomeUnknown }
    }

    /** Resolves open changes of [team] and takes a step towards [plan]. Returns whether the plan has been reached. */
    fun reconcile(team: TeamId, plan: UnitPlan, lease: LeaseId): Boolean {
        val units = unitsByTeam.getOrPut(team) { TeamUnits() }
        val records = service.list(KeyRange(RateKeys.unitPrefix(team))).getOrElse { return false }.entries
            .mapNotNull { entry -> RateKeys.numberOf(entry.key)?.let { it to entry } }.toMap()
        resolveOutcomes(team, units, records, lease)
        stopUsing(team, units, plan.toRelease)
        if (units.pendingReturns.isNotEmpty()) returnUnits(units, records)
        val wanted = plan.desiredUnits - units.held.size - plan.toRelease
        if (wanted > 0 && !units.outcomeUnknown) acquire(team, units, records, lease, wanted)
        return units.held.size >= plan.desiredUnits && units.pendingReturns.isEmpty() && !units.outcomeUnknown
    }

    private fun resolveOutcomes(team: TeamId, units: TeamUnits, records: Map<Int, KeyValueEntry>, lease: LeaseId) {
        units.outcomeUnknown = false
        units.pendingReturns.keys.removeIf { records[it]?.lease != lease }
        val adoptedUnits = records.filter { (number, entry) ->
            entry.lease == lease && number !in units.held && number !in units.pendingReturns
        }.keys
        if (adoptedUnits.isEmpty()) return
        buckets.addUnits(lease, team, adoptedUnits.map { RateUnit(it, 0) })
        units.held += adoptedUnits
    }

    private fun stopUsing(team: TeamId, units: TeamUnits, count: Int) {
        if (count <= 0) return
        for (unit in buckets.releaseUnits(team, count)) {
            units.held -= unit.number
            units.pendingReturns[unit.number] = unit.level
        }
    }

    private fun returnUnits(units: TeamUnits, records: Map<Int, KeyValueEntry>) {
        val unitsToReturn = units.pendingReturns.mapNotNull { (number, level) -> records[number]?.let { it to level } }
        val compares = unitsToReturn.map { (entry, _) -> Compare.ModifiedAt(entry.key, entry.modificationRevision) }
        val puts = unitsToReturn.map { (entry, level) -> Operation.Put(entry.key, encode(level)) }
        service.transact(Transaction(compares, puts)).onRight { if (it.applied) units.pendingReturns.clear() }
        if (units.pendingReturns.isNotEmpty()) units.outcomeUnknown = true
    }

    private fun acquire(
        team: TeamId,
        units: TeamUnits,
        records: Map<Int, KeyValueEntry>,
        lease: LeaseId,
        wanted: Int,
    ) {
        // Nodes start at different numbers, so that two that acquire at the same time seldom want the same unit.
        val first = Math.floorMod((vm.value + team.value).hashCode(), SURPLUS_UNITS)
        val free = List(SURPLUS_UNITS) { (first + it) % SURPLUS_UNITS }.filter { number ->
            records[number].let { it == null || it.lease == null } && number !in units.pendingReturns
        }.take(wanted)
        if (free.isEmpty()) return
        val compares = free.map { number ->
            val key = RateKeys.unitKey(team, number)
            records[number]?.let { Compare.ModifiedAt(key, it.modificationRevision) } ?: Compare.Absent(key)
        }
        val puts = free.map { Operation.Put(RateKeys.unitKey(team, it), encode(0), lease) }
        service.transact(Transaction(compares, puts)).fold({ units.outcomeUnknown = true }) { result ->
            if (!result.applied) return
            // If the buckets fail to take the units now, the next reading finds and adopts them.
            buckets.addUnits(lease, team, free.map { RateUnit(it, records[it]?.let(::levelOf) ?: 0) })
            units.held += free
        }
    }

    private fun levelOf(entry: KeyValueEntry): Long = Json.decodeFromString<UnitRecord>(entry.value).level

    private fun encode(level: Long): String = Json.encodeToString(UnitRecord(vm.value, level))
}
