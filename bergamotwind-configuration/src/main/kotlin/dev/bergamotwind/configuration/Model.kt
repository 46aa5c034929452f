package dev.bergamotwind.configuration

import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import kotlinx.serialization.Serializable

/** A model, the version to serve and the accelerator memory that one copy needs. */
@Serializable
public data class Model(val id: ModelId, val version: String, val memory: Mebibytes, val minimumCopies: Int = 1)
