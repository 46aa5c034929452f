package dev.bergamotwind.admission

/** A surplus unit of a team, identified by [number], with the tokens that move with it between nodes. */
public data class RateUnit(val number: Int, val level: Long)
