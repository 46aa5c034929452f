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
    /**
     * Number of orders that the engine must have accepted so far; it rejects the order otherwise, even if it acts late.
     */
    val acceptedOrders: Long,
    /** The VM that sends the order. */
    val holder: VmId,
    /** Term of the holder that sends the order; it increases with each change of the holder. */
    val term: Long,
)
