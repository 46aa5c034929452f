package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.TargetId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A holder's word that it gives no more orders under the term of its [claim], and when it gave its last ones. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class EndedTerm(
    @CborLabel(0)
    val claim: Long,
    /** Milliseconds since the last order to each engine that had one within the hand-over time. */
    @CborLabel(1)
    val orderAges: Map<TargetId, Long>,
)
