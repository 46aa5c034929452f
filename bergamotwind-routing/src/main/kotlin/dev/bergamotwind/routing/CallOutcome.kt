package dev.bergamotwind.routing

/** How a call to a target ended, as far as it says something about the target. */
public enum class CallOutcome {
    /** The target answered, with whatever status below 500. */
    ANSWERED,

    /** The target could not be reached, broke off or answered with a server error. */
    FAILED,

    /** The target refused with 503 and `X-Draining: true`. */
    DRAINING,

    /** The caller or this node ended the call; says nothing about the target. */
    CANCELLED,
}
