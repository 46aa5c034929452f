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
 * Acquires, holds and returns this node's slot and surplus units in the key-value service, and resizes [buckets]
 * accordingly. Its calls block, so it runs on a thread of its own to never delay admission. Not thread-safe.
 *
 * Every tick starts with the keep-alive of the lease, since a lost lease costs all units.
 */
public class RateShareCoordinator(
    service: KeyValueService,
    virtualMachines: VirtualMachineList,
    private val vm: VmId,
    private val clock: Clock,
    buckets: RateShareBuckets,
) {
    private class RetryState(val failures: Int, val nextAttemptNanos: Long)

    private val lease = UnitLease(service, clock, buckets)
    private val slots = SlotAllocator(service, virtualMachines, vm, buckets)
    private val units = UnitAllocator(service, vm, buckets)
    private val retryStates = HashMap<TeamId, RetryState>()
    private var configuration = OperatorConfiguration()
    private var policy = UnitAllocationPolicy(configuration.entrySlots)
    private var demand = emptyMap<TeamId, List<TeamDemand>>()

    /** Switches to a new configuration. */
    public fun applyConfiguration(applied: OperatorConfiguration) {
        configuration = applied
        policy = UnitAllocationPolicy(applied.entrySlots)
        retryStates.keys.retainAll(applied.teams.keys)
        units.retainTeams(applied.teams.keys)
    }

    /** Updates the demand of all nodes, including this one, as reported in their digests. */
    public fun updateDemand(observed: List<TeamDemand>) {
        demand = observed.groupBy { it.team }
    }

    /** Number of surplus units of [team] that this node holds according to its local state. */
    public fun unitsHeld(team: TeamId): Int = units.heldCount(team)

    /** Maintains the lease, then the slot, then the units of a few teams, each as far as due. */
    public fun tick() {
        if (lease.keepAliveIfDue()) units.clear()
        slots.reconcileIfDue(clock.monotonicNanos(), configuration.entrySlots)
        adjustUnits()
        // Slow calls above may have taken until the next keep-alive is due.
        if (lease.keepAliveIfDue()) units.clear()
    }

    /** Returns all units with their levels and revokes the lease, for a planned stop. The VM keeps its slot. */
    public fun close() {
        lease.heldLease()?.let { held ->
            configuration.teams.keys.forEach { team ->
                val count = units.heldCount(team)
                if (count > 0) units.reconcile(team, UnitPlan(0, count), held)
            }
        }
        lease.close()
        units.clear()
    }

    private fun adjustUnits() {
        val now = clock.monotonicNanos()
        val unresolved = units.unresolvedTeams().toSet()
        val changes = configuration.teams.values.mapNotNull { team -> pendingChange(team, team.id in unresolved, now) }
        // Returned and unresolved units first, then acquisitions; the earliest due goes first, so that no team starves.
        changes.sortedWith(compareBy({ it.priority }, { retryStates[it.team.id]?.nextAttemptNanos ?: Long.MIN_VALUE }))
            .take(MAXIMUM_UNIT_CHANGES_PER_TICK)
            .forEach { change -> lease.activeLease()?.let { applyChange(change, it, now) } }
        unresolved.filter { it !in configuration.teams }.forEach { removed ->
            lease.activeLease()?.let { units.reconcile(removed, UnitPlan(0, 0), it) }
        }
    }

    private class UnitChange(val team: Team, val plan: UnitPlan, val priority: Int)

    private fun pendingChange(team: Team, unresolved: Boolean, nowNanos: Long): UnitChange? {
        val held = units.heldCount(team.id)
        val plan = policy.plan(team, vm, held, demand[team.id].orEmpty())
        val acquisitionDue =
            plan.desiredUnits > held && nowNanos >= (retryStates[team.id]?.nextAttemptNanos ?: Long.MIN_VALUE)
        return when {
            plan.toRelease > 0 -> UnitChange(team, plan, 0)
            unresolved -> UnitChange(team, plan, 0)
            acquisitionDue -> UnitChange(team, plan, 1)
            else -> null
        }
    }

    private fun applyChange(change: UnitChange, lease: LeaseId, nowNanos: Long) {
        val id = change.team.id
        val before = units.heldCount(id)
        val planReached = units.reconcile(id, change.plan, lease)
        val failures = if (planReached || units.heldCount(id) != before) 0 else (retryStates[id]?.failures ?: 0) + 1
        // Other nodes release units only after they have seen the demand, so an immediate retry is useless.
        val demandUnmet = units.heldCount(id) < change.plan.needed
        val maximumDoublings = if (demandUnmet) URGENT_BACKOFF_DOUBLINGS else MAXIMUM_BACKOFF_DOUBLINGS
        val backoff = INITIAL_BACKOFF_NANOS shl min(failures, maximumDoublings)
        retryStates[id] = RetryState(failures, nowNanos + backoff)
    }

    private companion object {
        const val INITIAL_BACKOFF_NANOS = 250_000_000L
        const val MAXIMUM_BACKOFF_DOUBLINGS = 4

        /** Unmet demand is refused in the meantime, so the node retries as often as digests arrive. */
        const val URGENT_BACKOFF_DOUBLINGS = 1
    }
}
