package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.FencingNumber
import dev.bergamotwind.api.Mebibytes
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Memory that one artifact uses, or may come to use, on a target.
 *
 * [order] is the number and [fencing] the fencing number of the newest order for the artifact; [order] is 0 for an
 * artifact that the engine reported without a recorded order. [orderedMillis] is the time of that order and
 * [orderExpiryMillis] the time after which no order for the artifact can take effect, both by the engine's clock.
 */
@Serializable
public data class LedgerEntry(
    val artifact: Artifact,
    val memory: Mebibytes,
    val state: LedgerEntryState,
    val order: Long = 0,
    val fencing: FencingNumber = FencingNumber(0),
    val orderedMillis: Long = 0,
    @SerialName("settledMillis")
    val orderExpiryMillis: Long = 0,
)
