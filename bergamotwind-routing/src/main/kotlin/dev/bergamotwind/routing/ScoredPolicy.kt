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

    override fun choose(candidates: List<TargetView>, query: TargetQuery): TargetView {
        if (candidates.size == 1) return candidates[0]
        if (scores.size < candidates.size) scores = LongArray(candidates.size * 2)
        score(candidates, query)
        var best = Long.MAX_VALUE
        for (index in candidates.indices) best = minOf(best, scores[index])
        val limit = best + SCORE_TOLERANCE.inWholeNanoseconds
        var equals = 0
        for (index in candidates.indices) if (scores[index] < limit) equals++
        var remaining = random.nextInt(equals)
        return candidates[candidates.indices.first { scores[it] < limit && remaining-- == 0 }]
    }

    private fun score(candidates: List<TargetView>, query: TargetQuery) {
        for (index in candidates.indices) scores[index] = expectedNanos(candidates[index], query)
        val prefix = query.prefixHash ?: return
        // Targets further away carry less load; counted in, they would deny the bonus to all near ones.
        val nearest = candidates.minOf { distance(it, query) }
        val near = candidates.indices.filter { distance(candidates[it], query) == nearest }
        val mean = (near.sumOf { loadOf(candidates[it]) } + 1).toDouble() / near.size
        val bound = ceil(mean * PREFIX_LOAD_BOUND).toInt()
        val home = homeOf(prefix, candidates, near)
        for (index in candidates.indices) {
            // Without the bound, one popular prefix would lead all its requests to one target.
            if (loadOf(candidates[index]) + 1 > bound) continue
            scores[index] -= when {
                candidates[index].isWarm(prefix) -> WARM_PREFIX_BONUS.inWholeNanoseconds
                index == home -> HOME_PREFIX_BONUS.inWholeNanoseconds
                else -> 0
            }
        }
    }

    private fun loadOf(candidate: TargetView): Int = candidate.running + candidate.queued

    private fun expectedNanos(candidate: TargetView, query: TargetQuery): Long {
        val adapter = (query.need as? TargetNeed.Engine)?.adapter
        val penalty = if (candidate.state == TargetEntry.HEALTHY) Duration.ZERO else SUSPECT_PENALTY
        return candidate.predictedFirstTokenNanos + adapterLoad(candidate, adapter).inWholeNanoseconds +
            distance(candidate, query).inWholeNanoseconds + penalty.inWholeNanoseconds
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

    /** Rendezvous hash: every node finds the same home of a prefix, and few homes change with the set of targets. */
    private fun homeOf(prefix: String, candidates: List<TargetView>, near: List<Int>): Int {
        val seed = prefix.hashCode().toLong() shl Int.SIZE_BITS
        return near.maxBy { index ->
            SplittableRandom(seed xor candidates[index].target.id.value.hashCode().toLong()).nextLong()
        }
    }
}
