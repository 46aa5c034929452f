package dev.bergamotwind.serving.catalogue

/** How often a request of a route may run, and how it is answered. */
public enum class RouteKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once. */
    NON_IDEMPOTENT,

    /** Answered by an event stream; runs at most once unless streams of the route can be resumed. */
    STREAMING,
}
