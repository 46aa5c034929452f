package dev.bergamotwind.serving.placement

/** Outcome of an order to an engine. */
public enum class OrderOutcome {
    /** The engine has accepted the order and executes it. */
    ACCEPTED,

    /** The ordered state already holds, or was reached at once. */
    DONE,

    /** Another order is being executed, or the engine has accepted a different number of orders. */
    CONFLICT,

    /** The engine has seen a later term. */
    OUTDATED,

    /** The engine does not support the order. */
    INVALID,

    /** Another engine answered at the address. */
    WRONG_TARGET,

    /** No byte of the order was sent. */
    NOT_SENT,

    /** No answer came; the order may still be executed later. */
    UNKNOWN,
}
