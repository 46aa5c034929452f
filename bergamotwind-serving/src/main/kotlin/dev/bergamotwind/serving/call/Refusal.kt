package dev.bergamotwind.serving.call

/**
 * Why a request gets no answer of a target. [status] is the HTTP status towards the caller; [RefusalKind] tells what
 * it promises. [retryAfterMillis] is when a repeat may succeed, or null when a repeat cannot help.
 */
public data class Refusal(val kind: RefusalKind, val reason: String, val retryAfterMillis: Long? = null) {
    /** HTTP status towards the caller. */
    public val status: Int get() = kind.status
}
