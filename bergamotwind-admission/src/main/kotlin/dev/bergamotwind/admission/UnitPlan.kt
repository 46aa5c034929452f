package dev.bergamotwind.admission

/** What a node does with its units of one team: the number to hold, and how many to give back now. */
public data class UnitPlan(val target: Int, val giveBack: Int)
