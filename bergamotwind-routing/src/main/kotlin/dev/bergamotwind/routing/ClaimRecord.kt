package dev.bergamotwind.routing

import dev.bergamotwind.api.RequestId
import kotlinx.serialization.Serializable

/**
 * A claim as stored in the key-value service. [number] is unique across all processes and identifies the claim attempt
 * when a response was lost. [holder] is the presence key of the process that created the record.
 */
@Serializable
internal data class ClaimRecord(
    val number: String,
    val holder: String,
    val request: RequestId,
    val bodyDigest: String,
    val state: ClaimState = ClaimState.CLAIMED,
    val answer: RecordedAnswer? = null,
)
