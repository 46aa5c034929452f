package dev.bergamotwind.test

import kotlinx.serialization.Serializable

/** Faults of an [EngineServer] or [ServiceServer], replaced as a whole by `POST /faults`. */
@Serializable
public data class TargetFaults(
    /** Rejects new requests with 503 and `X-Draining: true`, and reports the target as leaving. */
    val draining: Boolean = false,
    /** Closes the connection after this many tokens or, for a plain service, after execution; negative disables it. */
    val breakAfterTokens: Int = -1,
    /** Answers every request with this status instead of executing it; 0 disables it. */
    val failWithStatus: Int = 0,
    /** Acknowledges orders without executing them. */
    val loseOrders: Boolean = false,
    /** Delay before a response begins. */
    val delayMillis: Long = 0,
)
