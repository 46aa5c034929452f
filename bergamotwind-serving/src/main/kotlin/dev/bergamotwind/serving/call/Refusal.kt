package dev.bergamotwind.serving.call

/**
 * Reason why a request is not answered by a target. The [kind] tells what the refusal promises to the caller.
 * [retryAfterMillis] is the time after which a retry may succeed, or null when a retry cannot help.
 */
public data class Refusal(val kind: RefusalKind, val reason: String, val retryAfterMillis: Long? = null) {
    /** HTTP status that the caller receives. */
    public val status: Int get() = kind.status
}
