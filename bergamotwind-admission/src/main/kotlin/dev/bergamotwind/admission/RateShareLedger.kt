package dev.bergamotwind.admission

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VirtualMachineList
import dev.bergamotwind.api.VmId
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Team
import kotlin.math.min

/**
 * This node's slot and surplus units in the key-value service. Its calls block, so it runs on a thread of its own and
 * never delays admission; [holder] leads to the buckets. For one thread.
 *
 * The lease is kept alive first in every tick, since losing it costs all units.
 */
public class RateShareLedger(
    service: KeyValueService,
    machines: VirtualMachineList,
    private val vm: VmId,
    private val clock: Clock,
    holder: RateShareHolder,
) {
    private class Attempt(val failures: Int, val nextNanos: Long)

    private val lease = UnitLease(service, clock, holder)
    private val slots = SlotLedger(service, machines, vm, holder)
    private val units = UnitLedger(service, vm, holder)
    private val attempts = HashMap<TeamId, Attempt>()
    private var configuration = OperatorConfiguration()
    private var policy = UnitPolicy(configuration.entrySlots)
    private var demand = emptyMap<TeamId, List<TeamDemand>>()

    /** Follows a new configuration. */
    public fun applyConfiguration(applied: OperatorConfiguration) {
        configuration = applied
        policy = UnitPolicy(applied.entrySlots)
        attempts.keys.retainAll(applied.teams.keys)
        units.retain(applied.teams.keys)
    }

    /** Notes the demand at all nodes, this one included, as digests show it. */
    public fun noteDemand(observed: List<TeamDemand>) {
        demand = observed.groupBy { it.team }
    }

    /** Surplus units of [team] that this node holds by its own books. */
    public fun unitsHeld(team: TeamId): Int = units.held(team)

    /** Does what is due: lease, slot, then the units of a few teams. */
    public fun tick() {
        if (lease.tick()) units.lose()
        slots.tick(clock.monotonicNanos(), configuration.entrySlots)
        moveUnits()
        // Slow calls above may have used up the time to the next keep-alive.
        if (lease.tick()) units.lose()
    }

    /** Returns all units with their levels and ends the lease, for a planned stop. The slot stays with the VM. */
    public fun close() {
        lease.current()?.let { held ->
            configuration.teams.keys.forEach { team ->
                val count = units.held(team)
                if (count > 0) units.move(team, UnitPlan(0, count), held)
            }
        }
        lease.close()
        units.lose()
    }

    private fun moveUnits() {
        val now = clock.monotonicNanos()
        val unsettled = units.unsettled().toSet()
        val due = configuration.teams.values.mapNotNull { team -> due(team, team.id in unsettled, now) }
        // Own unmet demand first, then teams whose last attempt is longest ago, so that none waits for ever.
        due.sortedWith(compareBy({ it.priority }, { attempts[it.team.id]?.nextNanos ?: Long.MIN_VALUE }))
            .take(UNIT_CHANGES_PER_TICK)
            .forEach { work -> lease.usable()?.let { move(work, it, now) } }
        unsettled.filter { it !in configuration.teams }.forEach { removed ->
            lease.usable()?.let { units.move(removed, UnitPlan(0, 0), it) }
        }
    }

    private class Work(val team: Team, val plan: UnitPlan, val priority: Int)

    private fun due(team: Team, unsettled: Boolean, nowNanos: Long): Work? {
        val held = units.held(team.id)
        val plan = policy.plan(team, vm, held, demand[team.id].orEmpty())
        val acquires = plan.target > held && nowNanos >= (attempts[team.id]?.nextNanos ?: Long.MIN_VALUE)
        return when {
            plan.giveBack > 0 -> Work(team, plan, 0)
            unsettled -> Work(team, plan, 0)
            acquires -> Work(team, plan, 1)
            else -> null
        }
    }

    private fun move(work: Work, lease: LeaseId, nowNanos: Long) {
        val id = work.team.id
        val before = units.held(id)
        val reached = units.move(id, work.plan, lease)
        val failures = if (reached || units.held(id) != before) 0 else (attempts[id]?.failures ?: 0) + 1
        // Units that others hold come free only after they have seen the demand, so asking again at once is useless.
        val urgent = units.held(id) < work.plan.need
        val wait = FIRST_WAIT_NANOS shl min(failures, if (urgent) URGENT_WAIT_DOUBLINGS else LONGEST_WAIT_DOUBLINGS)
        attempts[id] = Attempt(failures, nowNanos + wait)
    }

    private companion object {
        const val FIRST_WAIT_NANOS = 250_000_000L
        const val LONGEST_WAIT_DOUBLINGS = 4

        /** Unmet demand is refused meanwhile, so the node asks again as often as digests arrive. */
        const val URGENT_WAIT_DOUBLINGS = 1
    }
}
