package dev.bergamotwind.placement

/** What a step of a [PlacementController] could do. */
public enum class StepState {
    /** Another node owns the failure domain, or this node's lease is about to end. */
    NOT_OWNER,

    /** The key-value service cannot be reached; nothing is changed. */
    FROZEN,

    /** The plan was made and carried out. */
    DONE,
}
