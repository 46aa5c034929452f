package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId

/** A load or unload of a model that an engine is executing. */
internal class ModelOperation(
    val kind: OrderKind,
    val model: ModelId,
    val startedMillis: Long,
    /** Time after which the engine is asked whether the operation is done. */
    var checkAtMillis: Long,
    /** Time at which the operation is expected to end. */
    val expectedEndMillis: Long,
)
