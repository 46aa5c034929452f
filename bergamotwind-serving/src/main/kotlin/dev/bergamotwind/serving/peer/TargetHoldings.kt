package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Models and adapters on a target according to the placement holder. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class TargetHoldings(
    @CborLabel(0)
    val target: TargetId,
    @CborLabel(1)
    val models: Map<ModelId, Set<AdapterId>>,
)
