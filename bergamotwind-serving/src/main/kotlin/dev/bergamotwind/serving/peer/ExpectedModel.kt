package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.ModelId
import kotlinx.serialization.Serializable

/** A model that no target holds yet and the milliseconds until one is expected to. */
@Serializable
public data class ExpectedModel(val model: ModelId, val millis: Int)
