package dev.bergamotwind.routing

import kotlin.random.Random

/** Baseline: takes a candidate with the fewest requests of this node in flight; ties are broken at random. */
public class LeastInFlightPolicy(private val random: Random) : TargetSelectionPolicy {
    override fun choose(candidates: List<TargetView>, query: TargetQuery): TargetView {
        val least = candidates.minOf { it.inFlight }
        return candidates.filter { it.inFlight == least }.random(random)
    }
}
