package dev.bergamotwind.serving.targets

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Load that one VM has in flight at one target. Prefill times are the milliseconds of prompt processing that requests
 * without a first event still need, by priority class: engines process the prompts of more urgent requests first.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class InFlightLoad(
    /** Requests that have been sent and have not ended. */
    @CborLabel(0)
    val requests: Int = 0,
    /** Prefill time of urgent requests. */
    @CborLabel(1)
    val urgentPrefillMillis: Int = 0,
    /** Prefill time of usual requests. */
    @CborLabel(2)
    val usualPrefillMillis: Int = 0,
    /** Prefill time of patient requests. */
    @CborLabel(3)
    val patientPrefillMillis: Int = 0,
    /** Tokens that the requests are expected to occupy when they end. */
    @CborLabel(4)
    val memoryTokens: Int = 0,
) {
    /** Returns the sum. */
    public operator fun plus(other: InFlightLoad): InFlightLoad = InFlightLoad(
        requests + other.requests,
        urgentPrefillMillis + other.urgentPrefillMillis,
        usualPrefillMillis + other.usualPrefillMillis,
        patientPrefillMillis + other.patientPrefillMillis,
        memoryTokens + other.memoryTokens,
    )

    /** Returns the difference. */
    public operator fun minus(other: InFlightLoad): InFlightLoad = InFlightLoad(
        requests - other.requests,
        urgentPrefillMillis - other.urgentPrefillMillis,
        usualPrefillMillis - other.usualPrefillMillis,
        patientPrefillMillis - other.patientPrefillMillis,
        memoryTokens - other.memoryTokens,
    )

    /** Prefill time in milliseconds that an engine spends before a new request of class [priority]. */
    public fun prefillMillisAhead(priority: PriorityClass): Int = when (priority) {
        PriorityClass.URGENT -> urgentPrefillMillis
        PriorityClass.USUAL -> urgentPrefillMillis + usualPrefillMillis
        PriorityClass.PATIENT -> urgentPrefillMillis + usualPrefillMillis + patientPrefillMillis
    }
}
