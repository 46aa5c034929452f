package dev.bergamotwind.replay

/** Decides at intervals of virtual time what the engines hold. */
internal interface PlacementStrategy {
    /** Model loads ordered so far. */
    val moves: Int

    /** Gives orders to the engines of [round]. */
    fun step(round: PlacementRound)
}
