package dev.bergamotwind.routing

/** Chooses among the targets that can serve a query. */
public interface TargetSelectionPolicy {
    /** Returns one of [candidates]. The list is not empty and is ordered by target id. */
    public fun choose(candidates: List<TargetView>, query: TargetQuery): TargetView
}
