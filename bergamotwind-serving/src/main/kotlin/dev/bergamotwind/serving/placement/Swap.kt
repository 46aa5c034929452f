package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId

/** A model to be loaded and the models that make room for it. */
internal data class Swap(
    val target: TargetId,
    val load: ModelId,
    val drop: List<ModelId>,
    val loadMillis: Long,
    val fromStore: Boolean,
    /** Milliseconds until the engine is free for it. */
    val waitMillis: Long = 0,
)
