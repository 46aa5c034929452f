package dev.bergamotwind.routing

/** Baseline for comparison: chooses the candidates in turn, separately for each requirement. */
public class RoundRobinPolicy : TargetSelectionPolicy {
    private val choiceCounts = mutableMapOf<TargetRequirement, Int>()

    override fun choose(candidates: List<TargetView>, query: TargetQuery): TargetView {
        val choiceCount = choiceCounts.merge(query.requirement, 1, Int::plus) ?: 1
        return candidates[Math.floorMod(choiceCount - 1, candidates.size)]
    }
}
