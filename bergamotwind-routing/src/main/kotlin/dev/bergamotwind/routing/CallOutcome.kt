package dev.bergamotwind.routing

/** How a call to a target ended, as evidence about the health of the target. */
public enum class CallOutcome {
    /** The target answered with a status below 500. */
    ANSWERED,

    /** The target could not be reached, closed the connection early or answered with a server error. */
    FAILED,

    /** The target refused with 503 and `X-Draining: true`. */
    DRAINING,

    /** The caller or this node ended the call; not evidence about the target. */
    CANCELLED,
}
