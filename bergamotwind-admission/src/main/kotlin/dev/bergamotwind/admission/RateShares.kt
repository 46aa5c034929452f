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
 * This node's part of every team's rate: one slot share and a number of surplus units per team, as one bucket. For one
 * thread. Buckets start empty, so a restart never spends a burst twice.
 *
 * Why the sum over the fleet holds: the levels of all buckets and of returned units are at most the team's burst, they
 * grow by at most the team's rate, and a token that is used leaves them. Moving a unit moves part of a level and never
 * creates one. Two rules keep the shares themselves disjoint:
 *  - units are used only until the cut-off on the own clock, and refill stops exactly there even when the process was
 *    paused across it;
 *  - the slot share follows the divisor in the slot record, which the [RateShareLedger] changes such that the shares of
 *    all records sum up to at most one while nodes apply a new slot count at different times.
 */
public class RateShares(
    configuration: OperatorConfiguration,
    private val clock: Clock,
    private val monitor: InvariantMonitor,
) : RateShareHolder {
    private val shares = HashMap<TeamId, TeamShare>()
    private var slotDivisor = 0
    private var lease: LeaseId? = null
    private var cutoffNanos = Long.MIN_VALUE
    private var unitsUsable = false

    init {
        applyConfiguration(configuration)
    }

    /**
     * Follows a new configuration. A lowered rate or burst applies at once; a raised burst adds empty capacity. A
     * removed team loses its bucket, and starts with an empty one when it is added again.
     */
    public fun applyConfiguration(configuration: OperatorConfiguration) {
        val now = advance()
        shares.keys.retainAll(configuration.teams.keys)
        for (team in configuration.teams.values) {
            val share = shares.getOrPut(team.id) { TeamShare(team, RateWitness(team.id, monitor), now) }
            share.team = team
            share.resize(slotDivisor, unitsUsable, now)
        }
    }

    /** Reserves [tokens] of [team]'s rate, or refuses as not run. */
    public fun reserve(team: TeamId, tokens: Long): Either<Failure, RateReservation> {
        val now = advance()
        val share = shares[team] ?: return Failure.Forbidden("team $team does not exist").left()
        share.demand.add(tokens, now)
        share.offeredTokens += tokens
        val reservation = share.bucket.reserve(tokens, now)
        if (reservation != null) return RateReservation(team, share.bucket, reservation).right()
        share.refuse(tokens)
        // A node that was restarted during an outage holds no share; its caller has not exceeded any rate.
        if (share.bucket.capacity <= 0) return noShare(team).left()
        return Failure.RateExceeded(team, retryAfter(share, tokens)).left()
    }

    /** Settles [reservation] by [actualTokens]; what was not used returns to the bucket within its bounds. */
    public fun settle(reservation: RateReservation, actualTokens: Long) {
        reservation.bucket.settle(reservation.tokens, actualTokens, advance())
    }

    /** Notes the demand of the whole fleet, from digests, to tell refusals inside a team's rate. */
    public fun noteFleetDemand(demand: List<TeamDemand>) {
        val sums = demand.groupingBy { it.team }.fold(0.0) { sum, entry -> sum + entry.tokensPerSecond }
        shares.forEach { (team, share) -> share.fleetTokensPerSecond = sums[team] ?: 0.0 }
    }

    /** State of every team's share, in order of team. */
    public fun snapshots(): List<RateSnapshot> {
        val now = advance()
        return shares.values.sortedBy { it.team.id }.map { share ->
            share.bucket.advance(now)
            RateSnapshot(
                team = share.team.id,
                capacity = share.bucket.capacity,
                ratePerSecond = share.bucket.ratePerSecond,
                level = share.bucket.level,
                units = share.units.size,
                demandTokensPerSecond = share.demand.tokensPerSecond(now),
                largestRequest = share.demand.largestRequest(now),
                offeredTokens = share.offeredTokens,
                refusedTokens = share.refusedTokens,
                refusedRequests = share.refusedRequests,
                refusedInsideRate = share.refusedInsideRate,
            )
        }
    }

    override fun holdSlot(divisor: Int) {
        val now = advance()
        slotDivisor = divisor
        resizeAll(now)
    }

    override fun extendUnits(lease: LeaseId, cutoffNanos: Long) {
        val now = advance()
        if (lease != this.lease) shares.values.forEach { it.units.clear() }
        // The same lease was extended without a gap, so units that were set aside at the cut-off are still held.
        this.lease = lease
        this.cutoffNanos = cutoffNanos
        unitsUsable = now < cutoffNanos
        resizeAll(now)
    }

    override fun addUnits(lease: LeaseId, team: TeamId, units: List<RateUnit>) {
        val now = advance()
        val share = shares[team]
        if (lease != this.lease || share == null) return
        share.units += units.map { it.number }
        share.resize(slotDivisor, unitsUsable, now)
        if (unitsUsable) share.bucket.deposit(units.sumOf { it.level }.toDouble(), now)
    }

    override fun loseUnits() {
        val now = advance()
        lease = null
        unitsUsable = false
        shares.values.forEach { it.units.clear() }
        resizeAll(now)
    }

    override fun releaseUnits(team: TeamId, count: Int): List<RateUnit> {
        val now = advance()
        val share = shares[team] ?: return emptyList()
        share.bucket.advance(now)
        val released = share.release(count, unitsUsable, now)
        share.resize(slotDivisor, unitsUsable, now)
        return released
    }

    /** Reads the clock and sets the units aside at their cut-off, before anything else uses the buckets. */
    private fun advance(): Long {
        val now = clock.monotonicNanos()
        if (unitsUsable && now >= cutoffNanos) {
            unitsUsable = false
            resizeAll(cutoffNanos)
        }
        return now
    }

    private fun resizeAll(nowNanos: Long) {
        shares.values.forEach { it.resize(slotDivisor, unitsUsable, nowNanos) }
    }

    private fun noShare(team: TeamId) =
        Failure.Unavailable("this node holds no share of the rate of team $team yet", code = "no_rate_share")

    private fun retryAfter(share: TeamShare, tokens: Long): Duration {
        val seconds = min(share.bucket.secondsUntil(tokens), LONGEST_RETRY.inWholeSeconds.toDouble())
        return maxOf(seconds.seconds, SHORTEST_RETRY)
    }

    private companion object {
        val SHORTEST_RETRY = 100.milliseconds

        /** A request above this node's capacity succeeds only after units have moved here. */
        val LONGEST_RETRY = 60.seconds
    }
}
