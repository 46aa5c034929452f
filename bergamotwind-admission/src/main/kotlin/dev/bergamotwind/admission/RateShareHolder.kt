package dev.bergamotwind.admission

import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.TeamId

/**
 * The token buckets as the [RateShareLedger] sees them. Each call returns only after the buckets have followed, since
 * the ledger may give a share away only after this node has stopped using it.
 */
public interface RateShareHolder {
    /** Holds one of [divisor] equal slot shares from now on, or none when [divisor] is 0. */
    public fun holdSlot(divisor: Int)

    /** The units under [lease] may be used until the monotonic clock reaches [cutoffNanos]. */
    public fun extendUnits(lease: LeaseId, cutoffNanos: Long)

    /** Holds [units] of [team] under [lease], which has been announced by [extendUnits]. */
    public fun addUnits(lease: LeaseId, team: TeamId, units: List<RateUnit>)

    /** Drops all units; their lease is gone. */
    public fun loseUnits()

    /** Gives up to [count] units of [team] back, each with a part of the bucket level. */
    public fun releaseUnits(team: TeamId, count: Int): List<RateUnit>
}
