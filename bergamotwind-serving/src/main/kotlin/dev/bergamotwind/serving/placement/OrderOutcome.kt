package dev.bergamotwind.serving.placement

/** What became of an order. */
public enum class OrderOutcome {
    /** The engine carries it out. */
    ACCEPTED,

    /** What was ordered already holds, or was done at once. */
    DONE,

    /** Another order is under way, or the engine has accepted another number of orders. */
    CONFLICT,

    /** The engine has seen a later term. */
    OUTDATED,

    /** The engine does not know the order. */
    INVALID,

    /** Another engine is at the address. */
    WRONG_TARGET,

    /** No byte of the order has left. */
    NOT_SENT,

    /** No answer came; the order may be carried out, also later. */
    UNKNOWN,
}
