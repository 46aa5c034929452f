package dev.bergamotwind.routing

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ArtifactState
import java.util.SplittableRandom
import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Takes the target with the lowest expected time: predicted first token with queueing, adapter load, distance and the
 * penalty of a suspect target, less the bonus of a warm prefix. Source: design page, section 4.6.
 */
public class ScoredPolicy(private val random: Random) : TargetSelectionPolicy {
    private var scores = LongArray(0)
    private var distances = LongArray(0)

    override fun choose(candidates: List<TargetView>, query: TargetQuery): TargetView {
        if (candidates.size == 1) return candidates[0]
        if (scores.size < candidates.size) {
            scores = LongArray(candidates.size * 2)
            distances = LongArray(candidates.size * 2)
        }
        for (index in candidates.indices) {
            val candidate = candidates[index]
            distances[index] = distance(candidate, query).inWholeNanoseconds
            scores[index] = distances[index] + expectedNanos(candidate, query)
        }
        query.prefixHash?.let { preferPrefix(candidates, it) }
        return candidates[indexOfBest(candidates.size)]
    }

    private fun indexOfBest(count: Int): Int {
        var best = Long.MAX_VALUE
        for (index in 0 until count) best = minOf(best, scores[index])
        val limit = best + SCORE_TOLERANCE.inWholeNanoseconds
        val equals = (0 until count).count { scores[it] < limit }
        var remaining = random.nextInt(equals)
        return (0 until count).first { scores[it] < limit && remaining-- == 0 }
    }

    /**
     * Lowers the score of targets with a warm [prefix], and of the home of the prefix: by rendezvous hashing, every
     * node finds the same home among the nearest targets, and few homes change with the set of targets.
     */
    private fun preferPrefix(candidates: List<TargetView>, prefix: String) {
        var nearest = Long.MAX_VALUE
        for (index in candidates.indices) nearest = minOf(nearest, distances[index])
        val seed = prefix.hashCode().toLong() shl Int.SIZE_BITS
        var load = 1
        var near = 0
        var home = -1
        var greatest = Long.MIN_VALUE
        for (index in candidates.indices) {
            // Targets further away carry less load; counted in, they would deny the bonus to all near ones.
            if (distances[index] != nearest) continue
            near++
            load += loadOf(candidates[index])
            val hash = SplittableRandom(seed xor candidates[index].target.id.value.hashCode().toLong()).nextLong()
            if (hash >= greatest) home = index
            greatest = maxOf(greatest, hash)
        }
        val bound = ceil(load.toDouble() / near * PREFIX_LOAD_BOUND).toInt()
        for (index in candidates.indices) {
            // Without the bound, one popular prefix would lead all its requests to one target.
            if (loadOf(candidates[index]) + 1 <= bound) scores[index] -= bonus(candidates[index], prefix, index == home)
        }
    }

    private fun bonus(candidate: TargetView, prefix: String, home: Boolean): Long = when {
        candidate.isWarm(prefix) -> WARM_PREFIX_BONUS.inWholeNanoseconds
        home -> HOME_PREFIX_BONUS.inWholeNanoseconds
        else -> 0
    }

    private fun loadOf(candidate: TargetView): Int = candidate.running + candidate.queued

    private fun expectedNanos(candidate: TargetView, query: TargetQuery): Long {
        val adapter = (query.need as? TargetNeed.Engine)?.adapter
        val penalty = if (candidate.state == TargetEntry.HEALTHY) Duration.ZERO else SUSPECT_PENALTY
        return candidate.predictedFirstTokenNanos + adapterLoad(candidate, adapter).inWholeNanoseconds +
            penalty.inWholeNanoseconds
    }

    private fun adapterLoad(candidate: TargetView, adapter: AdapterId?): Duration =
        when (if (adapter == null) ArtifactState.LOADED else candidate.adapterState(adapter)) {
            ArtifactState.LOADED -> Duration.ZERO
            ArtifactState.LOADING -> ADAPTER_LOADING
            else -> ADAPTER_LOAD
        }

    private fun distance(candidate: TargetView, query: TargetQuery): Duration = when {
        candidate.target.failureDomain == query.failureDomain -> Duration.ZERO
        candidate.region == query.region -> SAME_REGION_DISTANCE
        else -> OTHER_REGION_DISTANCE
    }
}
