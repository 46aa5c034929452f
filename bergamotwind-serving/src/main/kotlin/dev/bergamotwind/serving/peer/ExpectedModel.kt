package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.ModelId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A model that no target holds yet and the milliseconds until one is expected to. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class ExpectedModel(
    @CborLabel(0)
    val model: ModelId,
    @CborLabel(1)
    val millis: Int,
)
