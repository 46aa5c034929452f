package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.api.VmId
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Team
import dev.bergamotwind.test.ManualClock
import dev.bergamotwind.test.ThrowingInvariantMonitor
import java.util.Random
import kotlin.math.ln
import kotlin.math.min
import kotlin.time.Duration.Companion.milliseconds

private const val SECONDS = 600
private val TEAM = Team(TeamId("oak"), Tokens(20_000), Tokens(60_000))

/**
 * Requests refused although a single bucket with the team's rate and burst would have admitted them, in percent. Six
 * nodes; a node gets [hotShare] of the requests and another one becomes hot every 20 s to 60 s; the load is [load] of
 * the rate on average and doubles or halves every few seconds.
 */
private class Refusals(seed: Long, val load: Double, val hotShare: Double, val following: Boolean) {
    private val random = Random(seed)
    private val fleet = Fleet(listOf(TEAM), entrySlots = 6)
    private val nodes = List(6) { fleet.start() }
    private val ideal = TokenBucket(0, RateWitness(TEAM.id, ThrowingInvariantMonitor))
    private var requests = 0L
    private var refused = 0L
    private var hot = 0

    init {
        ideal.resize(TEAM.burst.value.toDouble(), TEAM.ratePerSecond.value.toDouble(), 0)
        if (!following) {
            nodes.forEach { it.shares.applyConfiguration(doubledSlots(fleet.configuration())) }
            nodes.forEach { it.shares.holdSlot(nodes.size) }
        }
    }

    fun percent(): Double {
        var hotUntil = 0
        var factor = 1.0
        for (step in 0 until (SECONDS + 20) * 20) {
            fleet.clock.advance(50.milliseconds)
            if (step >= hotUntil) {
                hot = random.nextInt(6)
                hotUntil = step + 400 + random.nextInt(800)
            }
            if (step % 60 == 0) factor = listOf(0.5, 1.0, 1.5)[random.nextInt(3)]
            val budget = load * factor * TEAM.ratePerSecond.value / 20 * -ln(1 - random.nextDouble())
            if (step > 400) spend(budget)
            if (following && step % 5 == 0) nodes.forEach { it.tick(if (step % 10 == 0) fleet.demand() else null) }
        }
        return 100.0 * refused / requests
    }

    private fun spend(budget: Double) {
        val now = fleet.clock.monotonicNanos()
        var left = budget
        while (left > 0) {
            val estimate = 100L + min(1_400, (-ln(1 - random.nextDouble()) * 300).toInt())
            left -= estimate
            val node = if (random.nextDouble() < hotShare) nodes[hot] else nodes[random.nextInt(6)]
            requests++
            val admitted = node.shares.reserve(TEAM.id, estimate).isRight()
            ideal.advance(now)
            if (admitted) {
                ideal.reserve(estimate, now)
            } else if (estimate <= ideal.level) {
                refused++
            }
        }
    }
}

/** Without units a team has its whole rate in slots, which is the same as twice the rate in half of them. */
private fun doubledSlots(configuration: OperatorConfiguration) = configuration.copy(
    teams = configuration.teams.mapValues { (_, team) ->
        team.copy(ratePerSecond = team.ratePerSecond + team.ratePerSecond, burst = team.burst + team.burst)
    },
)

// Only live objects count, so garbage has to be collected before and after.
@Suppress("ExplicitGarbageCollectionCall")
private fun costs(teams: Int): String {
    val configuration = OperatorConfiguration(
        teams = List(teams) { TEAM.copy(id = TeamId("team-$it")) }.associateBy { it.id },
    )
    val clock = ManualClock()
    System.gc()
    val before = Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    val copies = List(200) { RateShares(configuration, clock, ThrowingInvariantMonitor).apply { holdSlot(6) } }
    System.gc()
    val bytes = (Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() } - before) / copies.size
    val shares = copies.first()
    val ids = configuration.teams.keys.toList()
    clock.advance(10_000.milliseconds)
    fun admissions(): Double = timed(200_000) { number ->
        if (number % 100 == 0) clock.advance(1.milliseconds)
        shares.reserve(ids[number % teams], 10).onRight { shares.settle(it, 5) }
    }
    fun snapshots(): Double = timed(2_000) { shares.snapshots() }
    val policy = UnitPolicy(6)
    val demand = List(6) { TeamDemand(TEAM.id, VmId("vm-$it"), 1_000.0 * it, 500, 2) }
    fun plans(): Double = timed(2_000) { repeat(teams) { policy.plan(TEAM, demand.first().vm, 2, demand) } }
    repeat(3) { listOf(admissions(), snapshots(), plans()) }
    return "teams=%d bytes_per_team=%d reserve_and_settle_us=%.2f snapshot_us=%.1f plan_all_teams_us=%.1f"
        .format(teams, bytes / teams, admissions(), snapshots(), plans())
}

private fun timed(rounds: Int, work: (Int) -> Unit): Double {
    val start = System.nanoTime()
    repeat(rounds, work)
    return (System.nanoTime() - start) / 1e3 / rounds
}

/** Prints the figures of docs/measurements-admission.md. */
fun main() {
    for (load in listOf(0.3, 0.5, 0.7)) {
        for (hotShare in listOf(0.0, 0.3, 0.5, 0.8)) {
            val text = listOf(false, true).joinToString(" ") { following ->
                val results = (1L..20L).map { Refusals(it, load, hotShare, following).percent() }.sorted()
                val name = if (following) "following" else "fixed"
                "%s_median=%.2f%% %s_worst=%.2f%%".format(name, (results[9] + results[10]) / 2, name, results.last())
            }
            println("load=$load hot_share=$hotShare $text")
        }
    }
    listOf(5, 50, 500).forEach { println(costs(it)) }
}
