package dev.bergamotwind.placement

/** Result of one placement cycle; [moves] are those whose orders were sent. */
public data class PlacementCycleResult(val outcome: PlacementCycleOutcome, val moves: List<PlacementMove> = emptyList())
