package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId

/** What the planner sees of one engine. */
internal data class EngineSnapshot(
    val target: TargetId,
    /** Models held and not being dropped. */
    val models: Set<ModelId>,
    /** A model that is being loaded or will be, or null. */
    val coming: ModelId?,
    /** False when requests cannot reach the engine, so that what it holds serves nobody. */
    val isReachable: Boolean,
    /** Milliseconds until the engine can be given an order about a model, or null when it cannot be known. */
    val freeInMillis: Long?,
    /** Megabytes that neither models nor adapters occupy. */
    val freeMegabytes: Double,
    /** Megabytes of each held model together with its adapters. */
    val occupiedMegabytes: Map<ModelId, Double>,
    val modelsInMemory: Set<ModelId>,
    val modelsOnDisk: Set<ModelId>,
    /** Models that came so shortly ago that dropping them would waste the load. */
    val recent: Set<ModelId>,
    /** Requests under way. */
    val requests: Int,
) {
    /** Models that the engine can serve without the weight store, at once or after a short load. */
    val atHand: Set<ModelId> = models + setOfNotNull(coming) + modelsInMemory + modelsOnDisk
}
