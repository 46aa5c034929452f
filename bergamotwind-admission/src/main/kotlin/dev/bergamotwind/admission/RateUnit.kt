package dev.bergamotwind.admission

/** A surplus unit of a team by [number], with the tokens that its bucket holds while it changes hands. */
public data class RateUnit(val number: Int, val level: Long)
