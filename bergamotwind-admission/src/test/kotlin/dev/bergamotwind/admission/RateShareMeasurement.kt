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
 * Measures the percentage of requests that are refused although a single bucket with the team's rate and burst would
 * have admitted them. There are six nodes. One of them, the hot node, gets [hotShare] of the requests, and the rest is
 * spread over all nodes; a new hot node is chosen every 20 s to 60 s. The load is [load] of the rate on average and is
 * multiplied by 0.5, 1 or 1.5, chosen anew every 3 s.
 */
private class ExcessRefusalSimulation(seed: Long, val load: Double, val hotShare: Double, val unitsEnabled: Boolean) {
    private val random = Random(seed)
    private val fleet = SimulatedFleet(listOf(TEAM), entrySlots = 6)
    private val nodes = List(6) { fleet.start() }
    private val referenceBucket = TokenBucket(0, RateInvariantChecker(TEAM.id, ThrowingInvariantMonitor))
    private var requests = 0L
    private var refused = 0L
    private var hotNode = 0

    init {
        referenceBucket.resize(TEAM.burst.value.toDouble(), TEAM.ratePerSecond.value.toDouble(), 0)
        if (!unitsEnabled) {
            nodes.forEach { it.rateLimiter.applyConfiguration(withDoubledRates(fleet.configuration())) }
            nodes.forEach { it.rateLimiter.setSlotDivisor(nodes.size) }
        }
    }

    fun refusedPercent(): Double {
        var hotUntilStep = 0
        var loadFactor = 1.0
        for (step in 0 until (SECONDS + 20) * 20) {
            fleet.clock.advance(50.milliseconds)
            if (step >= hotUntilStep) {
                hotNode = random.nextInt(6)
                hotUntilStep = step + 400 + random.nextInt(800)
            }
            if (step % 60 == 0) loadFactor = listOf(0.5, 1.0, 1.5)[random.nextInt(3)]
            val budget = load * loadFactor * TEAM.ratePerSecond.value / 20 * -ln(1 - random.nextDouble())
            if (step > 400) sendRequests(budget)
            if (unitsEnabled && step % 5 == 0) nodes.forEach { it.tick(if (step % 10 == 0) fleet.demand() else null) }
        }
        return 100.0 * refused / requests
    }

    private fun sendRequests(budget: Double) {
        val now = fleet.clock.monotonicNanos()
        var left = budget
        while (left > 0) {
            val estimate = 100L + min(1_400, (-ln(1 - random.nextDouble()) * 300).toInt())
            left -= estimate
            val node = if (random.nextDouble() < hotShare) nodes[hotNode] else nodes[random.nextInt(6)]
            requests++
            val admitted = node.rateLimiter.reserve(TEAM.id, estimate).isRight()
            referenceBucket.refill(now)
            if (admitted) {
                referenceBucket.reserve(estimate, now)
            } else if (estimate <= referenceBucket.level) {
                refused++
            }
        }
    }
}

/** Doubles all rates: [SLOT_FRACTION] of them then equals the original rates, as if there were slots but no units. */
private fun withDoubledRates(configuration: OperatorConfiguration) = configuration.copy(
    teams = configuration.teams.mapValues { (_, team) ->
        team.copy(ratePerSecond = team.ratePerSecond + team.ratePerSecond, burst = team.burst + team.burst)
    },
)

// Only live objects are measured, so garbage is collected before and after.
@Suppress("ExplicitGarbageCollectionCall")
private fun measureCosts(teams: Int): String {
    val configuration = OperatorConfiguration(
        teams = List(teams) { TEAM.copy(id = TeamId("team-$it")) }.associateBy { it.id },
    )
    val clock = ManualClock()
    System.gc()
    val before = Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    val copies = List(200) {
        TeamRateLimiter(configuration, clock, ThrowingInvariantMonitor).apply { setSlotDivisor(6) }
    }
    System.gc()
    val bytes = (Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() } - before) / copies.size
    val rateLimiter = copies.first()
    val ids = configuration.teams.keys.toList()
    clock.advance(10_000.milliseconds)
    fun admissions(): Double = microsecondsPerRound(200_000) { number ->
        if (number % 100 == 0) clock.advance(1.milliseconds)
        rateLimiter.reserve(ids[number % teams], 10).onRight { rateLimiter.settle(it, 5) }
    }
    fun snapshots(): Double = microsecondsPerRound(2_000) { rateLimiter.snapshots() }
    val policy = UnitAllocationPolicy(6)
    val demand = List(6) { TeamDemand(TEAM.id, VmId("vm-$it"), 1_000.0 * it, 500, 2) }
    fun plans(): Double = microsecondsPerRound(2_000) {
        repeat(teams) { policy.plan(TEAM, demand.first().vm, 2, demand) }
    }
    repeat(3) { listOf(admissions(), snapshots(), plans()) }
    return "teams=%d bytes_per_team=%d reserve_and_settle_us=%.2f snapshot_us=%.1f plan_all_teams_us=%.1f"
        .format(teams, bytes / teams, admissions(), snapshots(), plans())
}

private fun microsecondsPerRound(rounds: Int, work: (Int) -> Unit): Double {
    val start = System.nanoTime()
    repeat(rounds, work)
    return (System.nanoTime() - start) / 1e3 / rounds
}

/** Prints the figures of docs/measurements-admission.md. */
fun main() {
    for (load in listOf(0.3, 0.5, 0.7)) {
        for (hotShare in listOf(0.0, 0.3, 0.5, 0.8)) {
            val text = listOf(false, true).joinToString(" ") { unitsEnabled ->
                val results = (1L..20L)
                    .map { ExcessRefusalSimulation(it, load, hotShare, unitsEnabled).refusedPercent() }
                    .sorted()
                val name = if (unitsEnabled) "following" else "fixed"
                "%s_median=%.2f%% %s_worst=%.2f%%".format(name, (results[9] + results[10]) / 2, name, results.last())
            }
            println("load=$load hot_share=$hotShare $text")
        }
    }
    listOf(5, 50, 500).forEach { println(measureCosts(it)) }
}
