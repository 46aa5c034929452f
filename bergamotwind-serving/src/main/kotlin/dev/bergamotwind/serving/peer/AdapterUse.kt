package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A target and the adapter that a request uses or waits for there. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class AdapterUse(
    @CborLabel(0)
    val target: TargetId,
    @CborLabel(1)
    val model: ModelId,
    @CborLabel(2)
    val adapter: AdapterId,
)
