package dev.bergamotwind.routing

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ArtifactState
import java.util.SplittableRandom
import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Chooses the target with the lowest expected time: predicted first token including queueing, plus adapter load time,
 * distance and the penalty of a suspect target, minus the bonus of a warm prefix. Source: design page, section 4.6.
 */
public class ScoredPolicy(private val random: Random) : TargetSelectionPolicy {
    private var scoreNanos = LongArray(0)
    private var distanceCosts = LongArray(0)

    override fun choose(candidates: List<TargetView>, query: TargetQuery): TargetView {
        if (candidates.size == 1) return candidates[0]
        if (scoreNanos.size < candidates.size) {
            scoreNanos = LongArray(candidates.size * 2)
            distanceCosts = LongArray(candidates.size * 2)
        }
        for (index in candidates.indices) {
            val candidate = candidates[index]
            distanceCosts[index] = distanceCost(candidate, query).inWholeNanoseconds
            scoreNanos[index] = distanceCosts[index] + expectedNanos(candidate, query)
        }
        query.prefixHash?.let { applyPrefixBonus(candidates, it) }
        return candidates[pickLowestScore(candidates.size)]
    }

    private fun pickLowestScore(count: Int): Int {
        var bestScore = Long.MAX_VALUE
        for (index in 0 until count) bestScore = minOf(bestScore, scoreNanos[index])
        val tieLimit = bestScore + SCORE_TOLERANCE.inWholeNanoseconds
        val tiedCount = (0 until count).count { scoreNanos[it] < tieLimit }
        var remaining = random.nextInt(tiedCount)
        return (0 until count).first { scoreNanos[it] < tieLimit && remaining-- == 0 }
    }

    /**
     * Lowers the score of targets with a warm [prefix] and of the home target of the prefix. Rendezvous hashing gives
     * every node the same home target among the nearest ones, and few prefixes change their home when the set of
     * targets changes.
     */
    private fun applyPrefixBonus(candidates: List<TargetView>, prefix: String) {
        var nearestCost = Long.MAX_VALUE
        for (index in candidates.indices) nearestCost = minOf(nearestCost, distanceCosts[index])
        val seed = prefix.hashCode().toLong() shl Int.SIZE_BITS
        var totalLoad = 1
        var nearestCount = 0
        var homeIndex = -1
        var greatestHash = Long.MIN_VALUE
        for (index in candidates.indices) {
            // Targets further away carry less load; in the mean, they would deny the bonus to all of the nearest ones.
            if (distanceCosts[index] != nearestCost) continue
            nearestCount++
            totalLoad += loadOf(candidates[index])
            val hash = SplittableRandom(seed xor candidates[index].target.id.value.hashCode().toLong()).nextLong()
            if (hash >= greatestHash) homeIndex = index
            greatestHash = maxOf(greatestHash, hash)
        }
        val loadBound = ceil(totalLoad.toDouble() / nearestCount * PREFIX_LOAD_BOUND).toInt()
        for (index in candidates.indices) {
            // Without the bound, all requests with one popular prefix would go to the same target.
            val candidate = candidates[index]
            if (loadOf(candidate) + 1 <= loadBound) {
                scoreNanos[index] -= prefixBonus(candidate, prefix, index == homeIndex)
            }
        }
    }

    private fun prefixBonus(candidate: TargetView, prefix: String, isHome: Boolean): Long = when {
        candidate.hasWarmPrefix(prefix) -> WARM_PREFIX_BONUS.inWholeNanoseconds
        isHome -> HOME_PREFIX_BONUS.inWholeNanoseconds
        else -> 0
    }

    private fun loadOf(candidate: TargetView): Int = candidate.running + candidate.queued

    private fun expectedNanos(candidate: TargetView, query: TargetQuery): Long {
        val adapter = (query.requirement as? TargetRequirement.Engine)?.adapter
        val penalty = if (candidate.state == TargetEntry.HEALTHY) Duration.ZERO else SUSPECT_PENALTY
        return candidate.predictedFirstTokenNanos + adapterLoadTime(candidate, adapter).inWholeNanoseconds +
            penalty.inWholeNanoseconds
    }

    private fun adapterLoadTime(candidate: TargetView, adapter: AdapterId?): Duration =
        when (if (adapter == null) ArtifactState.LOADED else candidate.adapterState(adapter)) {
            ArtifactState.LOADED -> Duration.ZERO
            ArtifactState.LOADING -> ADAPTER_REMAINING_LOAD_TIME
            else -> ADAPTER_LOAD_TIME
        }

    private fun distanceCost(candidate: TargetView, query: TargetQuery): Duration = when {
        candidate.target.failureDomain == query.failureDomain -> Duration.ZERO
        candidate.region == query.region -> SAME_REGION_DISTANCE
        else -> OTHER_REGION_DISTANCE
    }
}
