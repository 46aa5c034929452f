package dev.bergamotwind.serving.call

/** Hears how an attempt ends. */
internal interface AttemptOutcomeHandler {
    /** True while [attempt] is the one that the call waits for. */
    fun isActive(attempt: CallAttempt): Boolean

    /** The attempt has certainly not run; [arrived] tells whether a target refused it. */
    fun notRun(attempt: CallAttempt, reason: String, arrived: Boolean)

    /** The attempt may have run and has no usable answer. */
    fun failed(attempt: CallAttempt, reason: String)

    /** The answer has been relayed whole. */
    fun answered(attempt: CallAttempt, status: Int)
}
