package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId

/** A model to load on an engine and the models to unload for it. */
internal data class Swap(
    val target: TargetId,
    val modelToLoad: ModelId,
    val modelsToUnload: List<ModelId>,
    val loadMillis: Long,
    val isFromStore: Boolean,
    /** Milliseconds until the engine can take the first order. */
    val waitMillis: Long = 0,
)
