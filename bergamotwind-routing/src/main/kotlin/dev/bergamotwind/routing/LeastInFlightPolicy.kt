package dev.bergamotwind.routing

import kotlin.random.Random

/** Baseline for comparison: chooses a candidate with the fewest in-flight requests of this node, ties at random. */
public class LeastInFlightPolicy(private val random: Random) : TargetSelectionPolicy {
    override fun choose(candidates: List<TargetView>, query: TargetQuery): TargetView {
        val least = candidates.minOf { it.inFlight }
        return candidates.filter { it.inFlight == least }.random(random)
    }
}
