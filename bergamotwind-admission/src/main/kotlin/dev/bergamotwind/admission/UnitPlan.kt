package dev.bergamotwind.admission

/**
 * Allocation of one team's units at a node: how many it should hold ([desiredUnits]), how many it should release now
 * ([toRelease]) and how many its own demand requires ([needed]).
 */
public data class UnitPlan(val desiredUnits: Int, val toRelease: Int, val needed: Int = 0)
