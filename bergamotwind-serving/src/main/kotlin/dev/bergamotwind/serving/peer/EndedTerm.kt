package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.TargetId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * A placement holder's announcement that it sends no more orders under the term of its [claimId], and when it sent its
 * last ones.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class EndedTerm(
    @CborLabel(0)
    val claimId: Long,
    /** Milliseconds since the last order to each engine that got one within the hand-over time. */
    @CborLabel(1)
    val orderAges: Map<TargetId, Long>,
    /**
     * Milliseconds since the last order that an earlier process of a holder may have given any engine that [orderAges]
     * does not list, or null when that is longer than the hand-over time.
     */
    @CborLabel(2)
    val otherOrdersAge: Long? = null,
)
