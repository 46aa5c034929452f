package dev.bergamotwind.serving.targets

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What one VM has under way at one target. Prompt reading is in milliseconds that requests without a first event need,
 * by their urgency: engines read the prompts of more urgent requests first.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class InFlightLoad(
    /** Requests that have been sent and not been answered whole. */
    @CborLabel(0)
    val requests: Int = 0,
    /** Prompt reading for the most urgent requests. */
    @CborLabel(1)
    val urgentMillis: Int = 0,
    /** Prompt reading for the usual requests. */
    @CborLabel(2)
    val usualMillis: Int = 0,
    /** Prompt reading for requests with much time. */
    @CborLabel(3)
    val patientMillis: Int = 0,
    /** Tokens that the requests are expected to occupy at their end. */
    @CborLabel(4)
    val memoryTokens: Int = 0,
) {
    /** Returns the sum. */
    public operator fun plus(other: InFlightLoad): InFlightLoad = InFlightLoad(
        requests + other.requests,
        urgentMillis + other.urgentMillis,
        usualMillis + other.usualMillis,
        patientMillis + other.patientMillis,
        memoryTokens + other.memoryTokens,
    )

    /** Returns the difference. */
    public operator fun minus(other: InFlightLoad): InFlightLoad = InFlightLoad(
        requests - other.requests,
        urgentMillis - other.urgentMillis,
        usualMillis - other.usualMillis,
        patientMillis - other.patientMillis,
        memoryTokens - other.memoryTokens,
    )

    /** Prompt reading that comes before that of a new request of [urgency], in milliseconds. */
    public fun promptMillisAhead(urgency: PriorityClass): Int = when (urgency) {
        PriorityClass.URGENT -> urgentMillis
        PriorityClass.USUAL -> urgentMillis + usualMillis
        PriorityClass.PATIENT -> urgentMillis + usualMillis + patientMillis
    }
}
