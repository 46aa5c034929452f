package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId

/** State of one engine as the input of [SwapPlanner]. */
internal data class EngineSnapshot(
    val target: TargetId,
    /** Models on the engine, without those that are being unloaded. */
    val models: Set<ModelId>,
    /** The model that is being loaded or will be, or null. */
    val incomingModel: ModelId?,
    /** False when requests cannot reach the engine, so that its models serve nobody. */
    val isReachable: Boolean,
    /** Milliseconds until the engine can take an order for a model, or null when that is unknown. */
    val availableInMillis: Long?,
    /** Megabytes that neither models nor adapters occupy. */
    val freeMegabytes: Double,
    /** Megabytes of each model together with its adapters. */
    val occupiedMegabytes: Map<ModelId, Double>,
    val modelsInMemory: Set<ModelId>,
    val modelsOnDisk: Set<ModelId>,
    /** Models loaded so recently that unloading them would waste the load. */
    val recentlyLoaded: Set<ModelId>,
    /** Number of running requests. */
    val runningRequests: Int,
) {
    /** Models that the engine can serve without the weight store, at once or after a short load. */
    val modelsAvailableLocally: Set<ModelId> = models + setOfNotNull(incomingModel) + modelsInMemory + modelsOnDisk
}
