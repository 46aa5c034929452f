package dev.bergamotwind.routing

/** Chooses among the targets that can serve a query. */
public interface TargetSelectionPolicy {
    /** Returns one of [candidates], which is not empty and in order of target id. */
    public fun choose(candidates: List<TargetView>, query: TargetQuery): TargetView
}
