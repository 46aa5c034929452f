package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.VmId

/** An order to an engine. */
public data class TargetOrder(
    val kind: OrderKind,
    val model: ModelId,
    /** An adapter of [model], or null for the model itself. */
    val adapter: AdapterId?,
    /** Orders that the engine must have accepted so far; another number makes it refuse, also when it acts late. */
    val acceptedOrders: Long,
    /** The VM that gives the order. */
    val holder: VmId,
    /** Term under which the order is given; grows with each change of the holder. */
    val term: Long,
)
