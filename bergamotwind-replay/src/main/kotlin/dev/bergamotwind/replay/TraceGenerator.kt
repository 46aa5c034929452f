package dev.bergamotwind.replay

import java.util.SplittableRandom
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Generates traces whose demand moves without warning: in turn a model's demand rises tenfold, a team sends five times
 * its usual requests, a failure domain is cut off, an engine dies and the weight store slows down. Model popularity
 * follows a power law whose order is drawn per seed.
 */
public object TraceGenerator {
    private class Burst(val from: Long, val until: Long, val model: Int?, val team: Int?, val factor: Double) {
        fun covers(millis: Long) = millis in from until until
    }

    /** Returns the trace of [deployment] for [seed], [length] long; the same arguments give the same trace. */
    public fun generate(deployment: Deployment, seed: Long, length: Duration = DEFAULT_TRACE_LENGTH): Trace {
        val random = SplittableRandom(seed)
        val order = deployment.modelMemoryMib.indices.sortedBy { random.nextInt() }
        val total = length.inWholeMilliseconds
        val bursts = bursts(deployment, random, order, total)
        val requests = requests(deployment, random, order, bursts, total)
        return Trace(deployment, (requests + faults(deployment, random, total)).sortedBy { it.millis })
    }

    private fun bursts(deployment: Deployment, random: SplittableRandom, order: List<Int>, total: Long): List<Burst> {
        // Among the most popular models a tenfold rise would exceed what all engines serve together.
        val models = List(2) { order[random.nextInt(POPULAR_MODELS, order.size)] }
        val team = random.nextInt(deployment.teams.size)
        return listOf(
            Burst(part(total, FIRST_RISE), part(total, FIRST_FALL), models[0], null, MODEL_BURST),
            Burst(part(total, TEAM_RISE), part(total, TEAM_FALL), null, team, TEAM_BURST),
            Burst(part(total, SECOND_RISE), part(total, SECOND_FALL), models[1], null, MODEL_BURST),
        )
    }

    private fun faults(deployment: Deployment, random: SplittableRandom, total: Long): List<TraceRecord> {
        val domain = deployment.regions[random.nextInt(deployment.regions.size)]
        val engine = "engine-${random.nextInt(deployment.engines)}"
        val lasting = part(total, 1)
        return listOf(
            TraceRecord(part(total, CUT), TraceKind.CUT_DOMAIN, domain, deadlineMillis = lasting),
            TraceRecord(part(total, KILL), TraceKind.KILL_TARGET, engine, deadlineMillis = lasting),
            TraceRecord(
                part(total, SLOW),
                TraceKind.SLOW_STORE,
                "store",
                outputTokens = STORE_SLOWDOWN,
                deadlineMillis = lasting,
            ),
        )
    }

    private fun part(total: Long, number: Int): Long = total * number / PARTS

    private fun requests(
        deployment: Deployment,
        random: SplittableRandom,
        order: List<Int>,
        bursts: List<Burst>,
        total: Long,
    ): List<TraceRecord> {
        val records = mutableListOf<TraceRecord>()
        var millis = 0.0
        while (millis < total) {
            val active = bursts.filter { it.covers(millis.toLong()) }
            val models = order.indices.associate {
                order[it] to (it + 1.0).pow(-POPULARITY_EXPONENT)
            }.mapValues { entry ->
                entry.value * (active.firstOrNull { it.model == entry.key }?.factor ?: 1.0)
            }
            val teams = deployment.teams.indices.associateWith { index ->
                deployment.teams[index].share * (active.firstOrNull { it.team == index }?.factor ?: 1.0)
            }
            val model = draw(models, random)
            val team = draw(teams, random)
            val usual = order.indices.sumOf { (it + 1.0).pow(-POPULARITY_EXPONENT) }
            val rate = deployment.requestsPerSecond * teams.values.sum() * models.values.sum() / usual
            millis += -ln(1 - random.nextDouble()) / rate * MILLIS_PER_SECOND
            records += request(deployment, random, millis.toLong(), model, team)
        }
        return records
    }

    private fun request(
        deployment: Deployment,
        random: SplittableRandom,
        millis: Long,
        model: Int,
        team: Int,
    ): TraceRecord {
        val output = random.nextInt(LEAST_OUTPUT, MOST_OUTPUT)
        val own = (0 until deployment.adapters).filter { it % deployment.modelMemoryMib.size == model }
        val adapter = if (own.isEmpty() || random.nextInt(2) == 0) "" else "adapter-${own[random.nextInt(own.size)]}"
        return TraceRecord(
            millis, TraceKind.REQUEST, deployment.teams[team].name,
            deployment.regions[random.nextInt(deployment.regions.size)], "model-$model", adapter,
            random.nextInt(LEAST_PROMPT, MOST_PROMPT), output, "prefix-$model-${random.nextInt(PREFIXES)}",
            FIRST_TOKEN_MILLIS + output * TOKEN_MILLIS,
        )
    }

    private fun draw(weights: Map<Int, Double>, random: SplittableRandom): Int {
        var remaining = random.nextDouble() * weights.values.sum()
        return weights.entries.firstOrNull { (_, weight) -> (weight >= remaining).also { remaining -= weight } }?.key
            ?: weights.keys.last()
    }

    /** Long enough for two tenfold bursts and the faults between them. */
    public val DEFAULT_TRACE_LENGTH: Duration = 16.minutes

    private const val PARTS = 16
    private const val POPULAR_MODELS = 3

    // Sixteenths of the trace.
    private const val FIRST_RISE = 2
    private const val SLOW = 3
    private const val FIRST_FALL = 5
    private const val TEAM_RISE = 6
    private const val TEAM_FALL = 8
    private const val CUT = 9
    private const val SECOND_RISE = 11
    private const val KILL = 12
    private const val SECOND_FALL = 15
    private const val MODEL_BURST = 10.0
    private const val TEAM_BURST = 5.0
    private const val STORE_SLOWDOWN = 4
    private const val POPULARITY_EXPONENT = 0.9
    private const val MILLIS_PER_SECOND = 1_000.0
    private const val LEAST_PROMPT = 100
    private const val MOST_PROMPT = 700
    private const val LEAST_OUTPUT = 20
    private const val MOST_OUTPUT = 220
    private const val PREFIXES = 12

    // Goals of the design page, section 1.4, with one retry's worth of slack before the first token.
    private const val FIRST_TOKEN_MILLIS = 860L
    private const val TOKEN_MILLIS = 53L
}
