package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId

/** An order about a model that an engine carries out. */
internal class ModelOperation(
    val kind: OrderKind,
    val model: ModelId,
    val startedMillis: Long,
    /** Time after which the engine is asked whether it is done. */
    var checkMillis: Long,
    /** Time at which the model is expected to be there, for a load. */
    val expectedMillis: Long,
)
