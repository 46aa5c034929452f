package dev.bergamotwind.admission

/**
 * What a node does with its units of one team: the number to hold, how many to give back now, and how many it needs for
 * its own demand.
 */
public data class UnitPlan(val target: Int, val giveBack: Int, val need: Int = 0)
