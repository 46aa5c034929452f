package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.catalogue.EngineProfile
import dev.bergamotwind.serving.peer.TargetHoldings
import dev.bergamotwind.serving.targets.TargetState

/** State of one engine as the placement holder knows it. */
internal class EngineState(val target: TargetState) {
    /** Models on the engine, each with its adapters, according to orders and reports so far. */
    val models = HashMap<ModelId, MutableSet<AdapterId>>()

    /** Time of the last use of each adapter; the least recently used one is evicted. */
    val adapterLastUseMillis = HashMap<Pair<ModelId, AdapterId>, Long>()

    /** Adapters that requests wait for, oldest first. */
    val wantedAdapters = LinkedHashSet<Pair<ModelId, AdapterId>>()

    /** Adapters that the engine unloads as soon as no request uses them; they occupy their slots until then. */
    val unloadingAdapters = HashSet<Pair<ModelId, AdapterId>>()

    /** Time at which each model was loaded. */
    val loadedAtMillis = HashMap<ModelId, Long>()

    /** Number of orders that the engine has accepted, or null when a report is needed to learn it. */
    var acceptedOrders: Long? = null

    /** True while a call to the engine is in flight. */
    var isCallPending = false

    /** Time before which the engine gets neither orders nor calls for reports. */
    var pausedUntilMillis = 0L

    /** Time before which the engine gets no calls, because of a pause or because it has asked for rest. */
    val nextCallMillis: Long get() = maxOf(pausedUntilMillis, target.availability.restEndMillis ?: 0)

    /** The load or unload of a model that the engine is executing, or null. */
    var operation: ModelOperation? = null

    /** The planned or running swap, or null. */
    var swap: Swap? = null

    /** Time at which the swap was planned. */
    var swapPlannedMillis = 0L

    /** True once the engine has accepted an order of the swap. */
    var isSwapStarted = false

    /** Time of the last order or report. */
    var lastContactMillis = Long.MIN_VALUE / 2

    /** Sets [newSwap] as the engine's planned swap. */
    fun planSwap(newSwap: Swap, nowMillis: Long) {
        swap = newSwap
        swapPlannedMillis = nowMillis
        isSwapStarted = false
    }

    /** Discards a swap that has not started in time: demand has shifted, and its victim may be in use again. */
    fun discardStaleSwap(nowMillis: Long) {
        val isStale = !isSwapStarted && !isCallPending && nowMillis - swapPlannedMillis > PLANNED_SWAP_TIMEOUT_MILLIS
        if (isStale) swap = null
    }

    /** Number of adapters of all models, including those that are being unloaded. */
    val adapterCount: Int get() = models.values.sumOf { it.size } + unloadingAdapters.size

    /** The holdings that are sent to the other VMs. */
    val holdings: TargetHoldings get() = TargetHoldings(target.record.id, models.mapValues { it.value.toSet() })

    /** Replaces the known models by [held], as the engine has reported them. */
    fun replaceHoldings(held: Map<ModelId, Set<AdapterId>>) {
        models.clear()
        unloadingAdapters.removeIf { (model, adapter) -> held[model]?.contains(adapter) != true }
        for ((model, adapters) in held) {
            models[model] = adapters.filterTo(HashSet()) { (model to it) !in unloadingAdapters }
        }
    }

    /** Megabytes free on the engine; models and adapters that are being unloaded count as occupied. */
    fun freeMegabytes(profile: EngineProfile): Double {
        val unloadingModel = operation?.takeIf { it.kind == OrderKind.UNLOAD }?.model
        val held = models.keys + setOfNotNull(unloadingModel)
        return profile.weightsMegabytes - held.sumOf { occupiedMegabytes(it, profile) }
    }

    /** Returns the planner's view of the engine. */
    fun snapshot(profile: EngineProfile, nowMillis: Long): EngineSnapshot {
        val record = target.record
        val isReachable = !target.health.isSuspended(nowMillis)
        // An engine that is asked for a report after an order, or paused briefly, takes the next order before a planned
        // swap expires; one that has not answered for longer does not.
        val isAnswering = acceptedOrders != null || nowMillis - lastContactMillis < PLANNED_SWAP_TIMEOUT_MILLIS
        val isPaused = nowMillis + PLANNED_SWAP_TIMEOUT_MILLIS / 2 < nextCallMillis
        val isIdle = isAnswering && operation == null && swap == null && !isPaused
        return EngineSnapshot(
            target = record.id,
            models = models.keys.toSet(),
            incomingModel = swap?.modelToLoad ?: operation?.takeIf { it.kind == OrderKind.LOAD }?.model,
            isReachable = isReachable,
            availableInMillis = if (isReachable) availableInMillis(isIdle, nowMillis) else null,
            freeMegabytes = freeMegabytes(profile),
            occupiedMegabytes = models.keys.associateWith { occupiedMegabytes(it, profile) },
            modelsInMemory = record.modelsInMemory,
            modelsOnDisk = record.modelsOnDisk,
            recentlyLoaded = loadedAtMillis.filterValues { nowMillis - it < RECENT_LOAD_MILLIS }.keys,
            runningRequests = target.peerLoad.requests + target.attempts.size,
        )
    }

    private fun availableInMillis(isIdle: Boolean, nowMillis: Long): Long? {
        val remaining = operation?.let { (it.expectedEndMillis - nowMillis).coerceAtLeast(MIN_OPERATION_MILLIS) } ?: 0
        val next = swap?.takeIf { operation?.kind != OrderKind.LOAD }?.loadMillis ?: 0
        return when {
            isIdle -> 0
            operation == null && swap == null -> null
            else -> (remaining + next).coerceAtLeast(MIN_OPERATION_MILLIS)
        }
    }

    private fun occupiedMegabytes(model: ModelId, profile: EngineProfile): Double {
        val known = profile.models[model] ?: return profile.weightsMegabytes
        val adapters = (models[model]?.size ?: 0) + unloadingAdapters.count { (of, _) -> of == model }
        return known.weightsMegabytes + adapters * known.adapterMegabytes
    }
}
