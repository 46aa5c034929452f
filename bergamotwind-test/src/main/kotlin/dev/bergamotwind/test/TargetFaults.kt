package dev.bergamotwind.test

import kotlinx.serialization.Serializable

/** Faults of a target stand-in, replaced as a whole by `POST /faults`. */
@Serializable
public data class TargetFaults(
    /** Refuses new work with 503 and `X-Draining: true`, and reports itself as leaving. */
    val draining: Boolean = false,
    /** Closes the connection after this many tokens or, for a plain service, after execution; negative is never. */
    val breakAfterTokens: Int = -1,
    /** Answers every request with this status instead of work; 0 is never. */
    val failWithStatus: Int = 0,
    /** Loses orders without an error. */
    val loseOrders: Boolean = false,
    /** Time added before an answer begins. */
    val delayMillis: Long = 0,
)
