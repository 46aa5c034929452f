package dev.bergamotwind.replay

import java.util.SplittableRandom
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Generates traces whose demand moves without warning: in turn a model's demand rises tenfold, a team sends five times
 * its usual requests, a failure domain is partitioned, an engine crashes and the weight store slows down. Model
 * popularity follows a power law whose order is drawn per seed.
 */
public object TraceGenerator {
    private class Burst(val from: Long, val until: Long, val model: Int?, val team: Int?, val factor: Double) {
        fun covers(millis: Long) = millis in from until until
    }

    /** Returns the trace of [deployment] for [seed], [length] long; the same arguments give the same trace. */
    public fun generate(deployment: Deployment, seed: Long, length: Duration = DEFAULT_TRACE_LENGTH): Trace {
        val random = SplittableRandom(seed)
        val popularityOrder = deployment.modelMemoryMib.indices.sortedBy { random.nextInt() }
        val total = length.inWholeMilliseconds
        val bursts = bursts(deployment, random, popularityOrder, total)
        val requests = requests(deployment, random, popularityOrder, bursts, total)
        return Trace(deployment, (requests + faults(deployment, random, total)).sortedBy { it.millis })
    }

    private fun bursts(
        deployment: Deployment,
        random: SplittableRandom,
        popularityOrder: List<Int>,
        total: Long,
    ): List<Burst> {
        // Among the most popular models a tenfold rise would exceed what all engines serve together.
        val models = List(2) { popularityOrder[random.nextInt(POPULAR_MODELS, popularityOrder.size)] }
        val team = random.nextInt(deployment.teams.size)
        return listOf(
            Burst(
                offset(total, FIRST_BURST_START),
                offset(total, FIRST_BURST_END),
                models[0],
                null,
                MODEL_BURST_RATIO,
            ),
            Burst(offset(total, TEAM_BURST_START), offset(total, TEAM_BURST_END), null, team, TEAM_BURST_RATIO),
            Burst(
                offset(total, SECOND_BURST_START),
                offset(total, SECOND_BURST_END),
                models[1],
                null,
                MODEL_BURST_RATIO,
            ),
        )
    }

    private fun faults(deployment: Deployment, random: SplittableRandom, total: Long): List<TraceRecord> {
        val domain = deployment.regions[random.nextInt(deployment.regions.size)]
        val engine = "engine-${random.nextInt(deployment.engines)}"
        val faultMillis = offset(total, 1)
        return listOf(
            TraceRecord(offset(total, PARTITION_START), TraceKind.CUT_DOMAIN, domain, deadlineMillis = faultMillis),
            TraceRecord(offset(total, ENGINE_KILL_START), TraceKind.KILL_TARGET, engine, deadlineMillis = faultMillis),
            TraceRecord(
                offset(total, STORE_SLOWDOWN_START),
                TraceKind.SLOW_STORE,
                "store",
                outputTokens = STORE_SLOWDOWN_FACTOR,
                deadlineMillis = faultMillis,
            ),
        )
    }

    private fun offset(total: Long, number: Int): Long = total * number / SEGMENTS

    private fun requests(
        deployment: Deployment,
        random: SplittableRandom,
        popularityOrder: List<Int>,
        bursts: List<Burst>,
        total: Long,
    ): List<TraceRecord> {
        val records = mutableListOf<TraceRecord>()
        var millis = 0.0
        while (millis < total) {
            val active = bursts.filter { it.covers(millis.toLong()) }
            val models = popularityOrder.indices.associate {
                popularityOrder[it] to (it + 1.0).pow(-POPULARITY_EXPONENT)
            }.mapValues { entry ->
                entry.value * (active.firstOrNull { it.model == entry.key }?.factor ?: 1.0)
            }
            val teams = deployment.teams.indices.associateWith { index ->
                deployment.teams[index].share * (active.firstOrNull { it.team == index }?.factor ?: 1.0)
            }
            val model = sampleWeighted(models, random)
            val team = sampleWeighted(teams, random)
            val baselineWeight = popularityOrder.indices.sumOf { (it + 1.0).pow(-POPULARITY_EXPONENT) }
            val rate = deployment.requestsPerSecond * teams.values.sum() * models.values.sum() / baselineWeight
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
        val output = random.nextInt(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS)
        val modelAdapters = (0 until deployment.adapters).filter { it % deployment.modelMemoryMib.size == model }
        val adapter = if (modelAdapters.isEmpty() || random.nextInt(2) == 0) {
            ""
        } else {
            "adapter-${modelAdapters[random.nextInt(modelAdapters.size)]}"
        }
        return TraceRecord(
            millis, TraceKind.REQUEST, deployment.teams[team].name,
            deployment.regions[random.nextInt(deployment.regions.size)], "model-$model", adapter,
            random.nextInt(MIN_PROMPT_TOKENS, MAX_PROMPT_TOKENS), output,
            "prefix-$model-${random.nextInt(PREFIXES_PER_MODEL)}",
            FIRST_TOKEN_MILLIS + output * TOKEN_MILLIS,
        )
    }

    private fun sampleWeighted(weights: Map<Int, Double>, random: SplittableRandom): Int {
        var remaining = random.nextDouble() * weights.values.sum()
        return weights.entries.firstOrNull { (_, weight) -> (weight >= remaining).also { remaining -= weight } }?.key
            ?: weights.keys.last()
    }

    /** Long enough for two tenfold bursts and the faults between them. */
    public val DEFAULT_TRACE_LENGTH: Duration = 16.minutes

    private const val SEGMENTS = 16
    private const val POPULAR_MODELS = 3

    // Offsets in sixteenths of the trace length.
    private const val FIRST_BURST_START = 2
    private const val STORE_SLOWDOWN_START = 3
    private const val FIRST_BURST_END = 5
    private const val TEAM_BURST_START = 6
    private const val TEAM_BURST_END = 8
    private const val PARTITION_START = 9
    private const val SECOND_BURST_START = 11
    private const val ENGINE_KILL_START = 12
    private const val SECOND_BURST_END = 15
    private const val MODEL_BURST_RATIO = 10.0
    private const val TEAM_BURST_RATIO = 5.0
    private const val STORE_SLOWDOWN_FACTOR = 4
    private const val POPULARITY_EXPONENT = 0.9
    private const val MILLIS_PER_SECOND = 1_000.0
    private const val MIN_PROMPT_TOKENS = 100
    private const val MAX_PROMPT_TOKENS = 700
    private const val MIN_OUTPUT_TOKENS = 20
    private const val MAX_OUTPUT_TOKENS = 220
    private const val PREFIXES_PER_MODEL = 12

    // Goals of the design page, section 1.4, with one retry's worth of slack before the first token.
    private const val FIRST_TOKEN_MILLIS = 860L
    private const val TOKEN_MILLIS = 53L
}
