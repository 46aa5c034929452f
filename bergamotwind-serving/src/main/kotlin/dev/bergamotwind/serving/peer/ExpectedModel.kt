package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A model that a target is loading and the milliseconds until the load is expected to end. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class ExpectedModel(
    @CborLabel(0)
    val model: ModelId,
    @CborLabel(1)
    val remainingMillis: Int,
    @CborLabel(2)
    val target: TargetId,
)
