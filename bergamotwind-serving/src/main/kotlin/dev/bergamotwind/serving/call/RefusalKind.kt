package dev.bergamotwind.serving.call

/** Kinds of refusals, with the remedy that is sent to the caller. */
public enum class RefusalKind(
    /** HTTP status that the caller receives. */
    public val status: Int,
    /** True when the status promises that the request has not run and never will. */
    public val promisesNotRun: Boolean,
    /** What the caller can do. */
    public val remedy: String,
) {
    /** The key is missing or unknown. */
    UNAUTHENTICATED(HttpStatus.UNAUTHORIZED, true, "Send a valid key."),

    /** No route matches. */
    NO_ROUTE(HttpStatus.NOT_FOUND, true, "Check the host and the path."),

    /** The team has used up its rate and burst. */
    RATE_EXCEEDED(HttpStatus.TOO_MANY_REQUESTS, true, "Repeat after the time in Retry-After."),

    /** The request cannot be served in time. */
    OVERLOADED(HttpStatus.SERVICE_UNAVAILABLE, true, "Repeat after the time in Retry-After."),

    /** A required component is missing. */
    UNAVAILABLE(HttpStatus.SERVICE_UNAVAILABLE, true, "Repeat after the time in Retry-After."),

    /** A part of the prompt has crashed engines. */
    QUARANTINED(HttpStatus.SERVICE_UNAVAILABLE, true, "Leave out that part, or repeat after the time in Retry-After."),

    /** A target failed after the request may have reached it. */
    TARGET_FAILED(HttpStatus.BAD_GATEWAY, false, "Check whether the request took effect before repeating it."),

    /** The call has timed out and the request may have run. */
    TIMED_OUT(HttpStatus.GATEWAY_TIMEOUT, false, "Check whether the request took effect before repeating it."),
}
