package dev.bergamotwind.placement

/** Outcome of one step: [moves] are those whose orders were given. */
public data class StepResult(val state: StepState, val moves: List<Move> = emptyList())
