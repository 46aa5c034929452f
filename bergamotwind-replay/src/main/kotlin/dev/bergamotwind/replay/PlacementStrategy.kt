package dev.bergamotwind.replay

/** Decides at intervals of virtual time which artifacts the engines hold. */
internal interface PlacementStrategy {
    /** Model loads ordered so far. */
    val moves: Int

    /** Sends load and unload orders to the engines of [round]. */
    fun step(round: PlacementRound)
}
