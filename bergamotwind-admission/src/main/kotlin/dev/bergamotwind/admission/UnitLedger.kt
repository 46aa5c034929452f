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
 * Acquires and returns surplus units. Every change starts from a reading of the team's records and is one transaction
 * on what was read, so a lost or late answer is settled by the next reading:
 *  - a record with this node's lease that the node does not hold was acquired by a write whose answer was lost, and is
 *    adopted empty;
 *  - a unit that waits for its return and no longer has this node's lease has been returned.
 */
internal class UnitLedger(
    private val service: KeyValueService,
    private val vm: VmId,
    private val holder: RateShareHolder,
) {
    private class TeamUnits {
        val held = sortedSetOf<Int>()
        val returning = sortedMapOf<Int, Long>()
        var inDoubt = false
    }

    private val teams = HashMap<TeamId, TeamUnits>()

    /** Units of [team] that this node uses now. */
    fun held(team: TeamId): Int = teams[team]?.held?.size ?: 0

    /** Teams with changes whose outcome has to be read back or tried again. */
    fun unsettled(): List<TeamId> = teams.filterValues { it.inDoubt || it.returning.isNotEmpty() }.keys.sorted()

    /** Forgets everything; the lease is gone. */
    fun lose() {
        teams.clear()
    }

    /** Stops using the units of teams other than [kept]; [move] returns their records. */
    fun retain(kept: Set<TeamId>) {
        teams.filterKeys { it !in kept }.forEach { (team, units) ->
            release(team, units, units.held.size)
            // The buckets may already have dropped the team and its levels with it.
            units.held.forEach { units.returning[it] = 0 }
            units.held.clear()
        }
        teams.values.removeIf { it.held.isEmpty() && it.returning.isEmpty() && !it.inDoubt }
    }

    /** Settles what is open for [team] and moves towards [plan]. Returns whether the plan is reached. */
    fun move(team: TeamId, plan: UnitPlan, lease: LeaseId): Boolean {
        val units = teams.getOrPut(team) { TeamUnits() }
        val records = service.list(KeyRange(RateKeys.units(team))).getOrElse { return false }.entries
            .mapNotNull { entry -> RateKeys.number(entry.key)?.let { it to entry } }.toMap()
        settle(team, units, records, lease)
        release(team, units, plan.giveBack)
        if (units.returning.isNotEmpty()) giveBack(units, records)
        val wanted = plan.target - units.held.size - plan.giveBack
        if (wanted > 0 && !units.inDoubt) acquire(team, units, records, lease, wanted)
        return units.held.size >= plan.target && units.returning.isEmpty() && !units.inDoubt
    }

    private fun settle(team: TeamId, units: TeamUnits, records: Map<Int, KeyValueEntry>, lease: LeaseId) {
        units.inDoubt = false
        units.returning.keys.removeIf { records[it]?.lease != lease }
        val unknown = records.filter { (number, entry) ->
            entry.lease == lease && number !in units.held && number !in units.returning
        }.keys
        if (unknown.isEmpty()) return
        holder.addUnits(lease, team, unknown.map { RateUnit(it, 0) })
        units.held += unknown
    }

    private fun release(team: TeamId, units: TeamUnits, count: Int) {
        if (count <= 0) return
        for (unit in holder.releaseUnits(team, count)) {
            units.held -= unit.number
            units.returning[unit.number] = unit.level
        }
    }

    private fun giveBack(units: TeamUnits, records: Map<Int, KeyValueEntry>) {
        val leaving = units.returning.mapNotNull { (number, level) -> records[number]?.let { it to level } }
        val compares = leaving.map { (entry, _) -> Compare.ModifiedAt(entry.key, entry.modificationRevision) }
        val puts = leaving.map { (entry, level) -> Operation.Put(entry.key, encode(level)) }
        service.transact(Transaction(compares, puts)).onRight { if (it.applied) units.returning.clear() }
        if (units.returning.isNotEmpty()) units.inDoubt = true
    }

    private fun acquire(
        team: TeamId,
        units: TeamUnits,
        records: Map<Int, KeyValueEntry>,
        lease: LeaseId,
        wanted: Int,
    ) {
        // Nodes start at different numbers, so that two that acquire at once seldom want the same unit.
        val first = Math.floorMod((vm.value + team.value).hashCode(), SURPLUS_UNITS)
        val free = List(SURPLUS_UNITS) { (first + it) % SURPLUS_UNITS }.filter { number ->
            records[number].let { it == null || it.lease == null } && number !in units.returning
        }.take(wanted)
        if (free.isEmpty()) return
        val compares = free.map { number ->
            val key = RateKeys.unit(team, number)
            records[number]?.let { Compare.ModifiedAt(key, it.modificationRevision) } ?: Compare.Absent(key)
        }
        val puts = free.map { Operation.Put(RateKeys.unit(team, it), encode(0), lease) }
        service.transact(Transaction(compares, puts)).fold({ units.inDoubt = true }) { result ->
            if (!result.applied) return
            // Should the buckets not take the units now, the next reading finds and adopts them.
            holder.addUnits(lease, team, free.map { RateUnit(it, records[it]?.let(::level) ?: 0) })
            units.held += free
        }
    }

    private fun level(entry: KeyValueEntry): Long = Json.decodeFromString<UnitRecord>(entry.value).level

    private fun encode(level: Long): String = Json.encodeToString(UnitRecord(vm.value, level))
}
