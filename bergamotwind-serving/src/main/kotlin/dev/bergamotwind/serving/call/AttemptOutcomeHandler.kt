package dev.bergamotwind.serving.call

/** Receives the outcome of a [CallAttempt]. */
internal interface AttemptOutcomeHandler {
    /** True while the call waits for the outcome of [attempt]. */
    fun isActive(attempt: CallAttempt): Boolean

    /** The request has certainly not run; [reachedTarget] tells whether a target received and refused it. */
    fun onNotRun(attempt: CallAttempt, reason: String, reachedTarget: Boolean)

    /** The request may have run, and there is no usable response. */
    fun onFailed(attempt: CallAttempt, reason: String)

    /** The response has been relayed completely. */
    fun onAnswered(attempt: CallAttempt, status: Int)
}
