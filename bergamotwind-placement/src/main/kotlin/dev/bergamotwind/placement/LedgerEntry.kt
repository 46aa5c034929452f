package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.FencingNumber
import dev.bergamotwind.api.Mebibytes
import kotlinx.serialization.Serializable

/**
 * Memory that one artifact uses, or may come to use, on a target.
 *
 * [order] and [fencing] are those of the newest order about the artifact; [order] is 0 for an artifact that was found
 * on the engine. [orderedMillis] and [settledMillis] are times of the engine's own clock: when that order was given,
 * and after which no order about the artifact can take effect any more.
 */
@Serializable
public data class LedgerEntry(
    val artifact: Artifact,
    val memory: Mebibytes,
    val state: LedgerState,
    val order: Long = 0,
    val fencing: FencingNumber = FencingNumber(0),
    val orderedMillis: Long = 0,
    val settledMillis: Long = 0,
)
