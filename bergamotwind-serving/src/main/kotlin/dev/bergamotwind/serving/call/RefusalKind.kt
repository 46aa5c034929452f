package dev.bergamotwind.serving.call

/** Kinds of refusals, with the remedy that is sent to the caller. */
public enum class RefusalKind(
    /** HTTP status towards the caller. */
    public val status: Int,
    /** What the caller can do. */
    public val remedy: String,
) {
    /** The key is missing or unknown. */
    UNAUTHENTICATED(401, "Send a valid key."),

    /** No route matches. */
    NO_ROUTE(404, "Check the host and the path."),

    /** The team has used its rate and burst. The request has not run. */
    RATE_EXCEEDED(429, "Repeat after the time in Retry-After."),

    /** The request cannot be served in time. It has not run and never will. */
    OVERLOADED(503, "Repeat after the time in Retry-After."),

    /** A part that is needed is missing. The request has not run and never will. */
    UNAVAILABLE(503, "Repeat after the time in Retry-After."),

    /** A target failed after the request may have reached it. */
    TARGET_FAILED(502, "Check whether the request took effect before repeating one that must run once."),

    /** The time for the answer is over and the request may have run. */
    TIMED_OUT(504, "Check whether the request took effect before repeating one that must run once."),
}
