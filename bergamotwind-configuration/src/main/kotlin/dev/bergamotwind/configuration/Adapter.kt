package dev.bergamotwind.configuration

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import kotlinx.serialization.Serializable

/** An adapter of a model and the accelerator memory it needs. Callers name it as `MODEL:ADAPTER`. */
@Serializable
public data class Adapter(val id: AdapterId, val model: ModelId, val memory: Mebibytes)
