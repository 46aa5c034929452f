package dev.bergamotwind.serving.crash

import dev.bergamotwind.serving.call.PromptPartId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What one VM knows about a suspected prompt part. Times are ages in milliseconds, because VMs share no clock. Reports
 * can be applied in any order and more than once: a crash that is cleared stays cleared.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class PromptPartReport(
    @CborLabel(0)
    val part: PromptPartId,
    /** Crashes that the part is a suspect of. */
    @CborLabel(1)
    val crashAges: Map<EngineCrashId, Long> = emptyMap(),
    /** Crashes that the part is no suspect of any more, because it was answered afterwards. */
    @CborLabel(2)
    val clearedCrashes: Set<EngineCrashId> = emptySet(),
    /** Age of the last trial, or null. */
    @CborLabel(3)
    val trialAge: Long? = null,
) {
    /** Returns this report [millis] later. */
    fun olderBy(millis: Long): PromptPartReport =
        copy(crashAges = crashAges.mapValues { it.value.agedBy(millis) }, trialAge = trialAge?.agedBy(millis))

    // An age that another writer has made up must not turn negative, which would make the crash a recent one.
    private fun Long.agedBy(millis: Long): Long = coerceIn(0, Long.MAX_VALUE - millis) + millis
}
