package dev.bergamotwind.admission

import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.TeamId

/**
 * The token buckets of a node, as resized by the [RateShareCoordinator]. Each call returns only after the buckets have
 * changed, since the coordinator may hand over a share only after this node has stopped using it.
 */
public interface RateShareBuckets {
    /** Sets the slot share to one of [divisor] equal shares, or to none when [divisor] is 0. */
    public fun setSlotDivisor(divisor: Int)

    /** Allows the units under [lease] to be used until the monotonic clock reaches [cutoffNanos]. */
    public fun extendUnitLease(lease: LeaseId, cutoffNanos: Long)

    /** Adds [units] of [team] under [lease], which must have been passed to [extendUnitLease] before. */
    public fun addUnits(lease: LeaseId, team: TeamId, units: List<RateUnit>)

    /** Drops all units because their lease has ended. */
    public fun dropAllUnits()

    /** Removes up to [count] units of [team] and returns them, each with a part of the bucket level. */
    public fun releaseUnits(team: TeamId, count: Int): List<RateUnit>
}
