package dev.bergamotwind.serving.catalogue

/** What may be done with a request of a route. */
public enum class RouteKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once. */
    NON_IDEMPOTENT,

    /** Answered by a stream of events; runs at most once unless the route's streams can be resumed. */
    STREAMING,
}
