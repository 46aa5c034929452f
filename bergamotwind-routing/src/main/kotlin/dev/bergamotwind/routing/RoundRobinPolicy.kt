package dev.bergamotwind.routing

/** Baseline: takes the candidates in turn, per need. */
public class RoundRobinPolicy : TargetSelectionPolicy {
    private val turns = mutableMapOf<TargetNeed, Int>()

    override fun choose(candidates: List<TargetView>, query: TargetQuery): TargetView {
        val turn = turns.merge(query.need, 1, Int::plus) ?: 1
        return candidates[Math.floorMod(turn - 1, candidates.size)]
    }
}
