package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What a target holds according to the holder of orders. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class TargetHoldings(
    @CborLabel(0)
    val target: TargetId,
    @CborLabel(1)
    val models: Map<ModelId, Set<AdapterId>>,
)
