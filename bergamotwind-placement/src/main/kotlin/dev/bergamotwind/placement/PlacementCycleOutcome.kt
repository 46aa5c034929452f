package dev.bergamotwind.placement

/** Outcome of one cycle of a [PlacementController]. */
public enum class PlacementCycleOutcome {
    /** Another node owns the failure domain, or this node's lease is about to expire. */
    NOT_OWNER,

    /** The key-value service cannot be reached; nothing was ordered. */
    FROZEN,

    /** A plan was made, recorded and sent. */
    DONE,
}
