package dev.bergamotwind.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.configuration.OperatorConfiguration
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the rate of every team at this node. A team has one token bucket here, sized by the node's slot share and the
 * surplus units that it holds for the team. Not thread-safe. Buckets start empty, so that a restart never grants a
 * burst twice.
 *
 * The fleet as a whole stays within a team's rate: the levels of all buckets and of returned units sum to at most the
 * team's burst, they grow by at most the team's rate, and a used token is removed from them. Moving a unit moves part
 * of a level and never creates tokens. Two rules keep the shares of the nodes disjoint:
 *  - units are used only until their cut-off on the node's own clock, and refill stops exactly there even when the
 *    process was paused across it;
 *  - the slot share follows the divisor in the slot record, which the [RateShareCoordinator] changes such that the
 *    shares of all records sum to at most one while nodes apply a new slot count at different times.
 */
public class TeamRateLimiter(
    configuration: OperatorConfiguration,
    private val clock: Clock,
    private val monitor: InvariantMonitor,
) : RateShareBuckets {
    private val teamShares = HashMap<TeamId, TeamRateShare>()
    private var slotDivisor = 0
    private var lease: LeaseId? = null
    private var cutoffNanos = Long.MIN_VALUE
    private var unitsUsable = false

    init {
        applyConfiguration(configuration)
    }

    /**
     * Switches to a new configuration. A lowered rate or burst applies at once; a raised burst adds empty capacity. The
     * bucket of a removed team is dropped; a team that is added again starts with an empty one.
     */
    public fun applyConfiguration(configuration: OperatorConfiguration) {
        val now = suspendUnitsPastCutoff()
        teamShares.keys.retainAll(configuration.teams.keys)
        for (team in configuration.teams.values) {
            val share = teamShares.getOrPut(team.id) {
                TeamRateShare(team, RateInvariantChecker(team.id, monitor), now)
            }
            share.team = team
            share.resize(slotDivisor, unitsUsable, now)
        }
    }

    /** Reserves [tokens] of [team]'s rate, or refuses them; a refused request has not run. */
    public fun reserve(team: TeamId, tokens: Long): Either<Failure, RateReservation> {
        val now = suspendUnitsPastCutoff()
        val share = teamShares[team] ?: return Failure.Forbidden("team $team does not exist").left()
        share.demand.record(tokens, now)
        share.offeredTokens += tokens
        val reservation = share.bucket.reserve(tokens, now)
        if (reservation != null) return RateReservation(team, share.bucket, reservation).right()
        share.recordRefusal(tokens)
        // A node restarted during an outage of the key-value service holds no share; the caller exceeded no rate.
        if (share.bucket.capacity <= 0) return noShareFailure(team).left()
        return Failure.RateExceeded(team, retryAfter(share, tokens)).left()
    }

    /** Settles [reservation] against [actualTokens]; unused tokens are refunded as far as the bucket allows. */
    public fun settle(reservation: RateReservation, actualTokens: Long) {
        reservation.bucket.settle(reservation.bucketReservation, actualTokens, suspendUnitsPastCutoff())
    }

    /** Updates the demand of the whole fleet, from digests; used to count refusals within a team's rate. */
    public fun updateFleetDemand(demand: List<TeamDemand>) {
        val sums = demand.groupingBy { it.team }.fold(0.0) { sum, entry -> sum + entry.tokensPerSecond }
        teamShares.forEach { (team, share) -> share.fleetTokensPerSecond = sums[team] ?: 0.0 }
    }

    /** Returns a snapshot of every team's share, sorted by team. */
    public fun snapshots(): List<RateSnapshot> {
        val now = suspendUnitsPastCutoff()
        return teamShares.values.sortedBy { it.team.id }.map { share ->
            share.bucket.refill(now)
            RateSnapshot(
                team = share.team.id,
                capacity = share.bucket.capacity,
                ratePerSecond = share.bucket.ratePerSecond,
                level = share.bucket.level,
                unitsHeld = share.units.size,
                demandTokensPerSecond = share.demand.tokensPerSecond(now),
                largestRequest = share.demand.largestRequest(now),
                offeredTokens = share.offeredTokens,
                refusedTokens = share.refusedTokens,
                refusedRequests = share.refusedRequests,
                refusedInsideRate = share.refusedInsideRate,
            )
        }
    }

    override fun setSlotDivisor(divisor: Int) {
        val now = suspendUnitsPastCutoff()
        slotDivisor = divisor
        resizeAll(now)
    }

    override fun extendUnitLease(lease: LeaseId, cutoffNanos: Long) {
        val now = suspendUnitsPastCutoff()
        if (lease != this.lease) teamShares.values.forEach { it.units.clear() }
        // If the lease is the same, it was extended without a gap: units suspended at the cut-off are still held.
        this.lease = lease
        this.cutoffNanos = cutoffNanos
        unitsUsable = now < cutoffNanos
        resizeAll(now)
    }

    override fun addUnits(lease: LeaseId, team: TeamId, units: List<RateUnit>) {
        val now = suspendUnitsPastCutoff()
        val share = teamShares[team]
        if (lease != this.lease || share == null) return
        share.units += units.map { it.number }
        share.resize(slotDivisor, unitsUsable, now)
        if (unitsUsable) share.bucket.deposit(units.sumOf { it.level }.toDouble(), now)
    }

    override fun dropAllUnits() {
        val now = suspendUnitsPastCutoff()
        lease = null
        unitsUsable = false
        teamShares.values.forEach { it.units.clear() }
        resizeAll(now)
    }

    override fun releaseUnits(team: TeamId, count: Int): List<RateUnit> {
        val now = suspendUnitsPastCutoff()
        val share = teamShares[team] ?: return emptyList()
        share.bucket.refill(now)
        val released = share.releaseUnits(count, unitsUsable, now)
        share.resize(slotDivisor, unitsUsable, now)
        return released
    }

    /** Suspends the units at their cut-off and returns the current time; called before any other use of the buckets. */
    private fun suspendUnitsPastCutoff(): Long {
        val now = clock.monotonicNanos()
        if (unitsUsable && now >= cutoffNanos) {
            unitsUsable = false
            resizeAll(cutoffNanos)
        }
        return now
    }

    private fun resizeAll(nowNanos: Long) {
        teamShares.values.forEach { it.resize(slotDivisor, unitsUsable, nowNanos) }
    }

    private fun noShareFailure(team: TeamId) =
        Failure.Unavailable("this node holds no share of the rate of team $team yet", code = "no_rate_share")

    private fun retryAfter(share: TeamRateShare, tokens: Long): Duration {
        val seconds = min(share.bucket.secondsUntilAvailable(tokens), MAXIMUM_RETRY_AFTER.inWholeSeconds.toDouble())
        return maxOf(seconds.seconds, MINIMUM_RETRY_AFTER)
    }

    private companion object {
        val MINIMUM_RETRY_AFTER = 100.milliseconds

        /** Also applies to requests above this node's capacity, which succeed only after units have moved here. */
        val MAXIMUM_RETRY_AFTER = 60.seconds
    }
}
