package dev.bergamotwind.api

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An expected error. Every kind says what to do about it and whether the request has run. */
public sealed interface Failure {
    /** Stable machine-readable name, used as `error.type` towards callers. */
    public val code: String

    /** HTTP status towards callers and operators. */
    public val status: Int

    /** What happened. */
    public val message: String

    /** What the receiver can do about it. */
    public val remedy: String

    /** Whether the request has run. */
    public val run: RunOutcome get() = RunOutcome.NOT_RUN

    /** When a repeat may succeed; null when a repeat cannot help. */
    public val retryAfter: Duration? get() = null

    /** The request or the submitted document is malformed. */
    public data class Invalid(
        override val message: String,
        override val remedy: String,
        override val status: Int = 400,
        override val code: String = "invalid_request",
        override val run: RunOutcome = RunOutcome.NOT_RUN,
    ) : Failure

    /** The caller's or operator's credential is missing, unknown or revoked. */
    public data class Unauthenticated(override val message: String) : Failure {
        override val code: String get() = "unauthenticated"
        override val status: Int get() = 401
        override val remedy: String get() = "Send a valid key in the Authorization header as 'Bearer KEY'."
    }

    /** The team exists but may not use what it asked for. */
    public data class Forbidden(override val message: String) : Failure {
        override val code: String get() = "forbidden"
        override val status: Int get() = 403
        override val remedy: String get() = "Ask an operator to grant the team access."
    }

    /** The named item does not exist. */
    public data class NotFound(override val message: String, override val remedy: String) : Failure {
        override val code: String get() = "not_found"
        override val status: Int get() = 404
    }

    /** The team has used its rate and burst. */
    public data class RateExceeded(val team: TeamId, override val retryAfter: Duration) : Failure {
        override val code: String get() = "rate_exceeded"
        override val status: Int get() = 429
        override val message: String get() = "team $team has used its token rate and burst"
        override val remedy: String get() = "Repeat after the time in Retry-After or ask for a higher rate."
    }

    /** A bounded queue or ring is full, or the deadline cannot be met. */
    public data class Overloaded(override val message: String, override val retryAfter: Duration = 1.seconds) :
        Failure {
        override val code: String get() = "overloaded"
        override val status: Int get() = 503
        override val remedy: String get() = "Repeat after the time in Retry-After."
    }

    /** A part that is needed cannot be reached now, and the request has not run. */
    public data class Unavailable(
        override val message: String,
        override val remedy: String = "Repeat after the time in Retry-After.",
        override val retryAfter: Duration = 2.seconds,
        override val code: String = "unavailable",
    ) : Failure {
        override val status: Int get() = 503
    }

    /** Another request with the same idempotency key is being handled, or its outcome cannot be known. */
    public data class AlreadyClaimed(
        override val code: String,
        override val message: String,
        override val run: RunOutcome,
        override val retryAfter: Duration?,
    ) : Failure {
        override val status: Int get() = 409
        override val remedy: String
            get() = "Do not send the call under a new key; check with the service whether it took effect."
    }

    /** A concurrent change won, or the change does not fit the current configuration. */
    public data class Conflict(override val message: String) : Failure {
        override val code: String get() = "conflict"
        override val status: Int get() = 409
        override val remedy: String get() = "Read the current configuration and submit the change again."
    }

    /** A write to the key-value service may have taken effect; its answer was lost. */
    public data class OutcomeUnknown(override val message: String) : Failure {
        override val code: String get() = "write_outcome_unknown"
        override val status: Int get() = 503
        override val remedy: String get() = "Read the record back to learn whether the write took effect."
        override val run: RunOutcome get() = RunOutcome.UNKNOWN
        override val retryAfter: Duration get() = 2.seconds
    }

    /** A lease no longer exists; everything held under it is lost. */
    public data class LeaseExpired(val lease: LeaseId) : Failure {
        override val code: String get() = "lease_expired"
        override val status: Int get() = 503
        override val message: String get() = "lease $lease has expired"
        override val remedy: String get() = "Grant a new lease and acquire again what was held under the old one."
    }

    /** A target failed after the request may have reached it. */
    public data class TargetFailed(override val message: String, override val run: RunOutcome) : Failure {
        override val code: String get() = "target_failed"
        override val status: Int get() = 502
        override val remedy: String
            get() = "Repeat an idempotent request; check the outcome of a non-idempotent one before repeating it."
    }

    /** A target refused the request without executing any of it; [draining] if because it is leaving. */
    public data class TargetRefused(val target: TargetId, val draining: Boolean, override val message: String) :
        Failure {
        override val code: String get() = "target_refused"
        override val status: Int get() = 503
        override val remedy: String get() = "Repeat after the time in Retry-After."
        override val retryAfter: Duration get() = 1.seconds
    }
}
