package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.catalogue.EngineProfile
import dev.bergamotwind.serving.peer.TargetHoldings
import dev.bergamotwind.serving.targets.TargetState

/** What the holder of orders knows about one engine. */
internal class EngineState(val target: TargetState) {
    /** Models held, each with its adapters, as the orders and reports so far tell. */
    val models = HashMap<ModelId, MutableSet<AdapterId>>()

    /** Last use of each adapter, for choosing the one that makes room. */
    val adapterUse = HashMap<Pair<ModelId, AdapterId>, Long>()

    /** Adapters that requests wait for, oldest first. */
    val wanted = LinkedHashSet<Pair<ModelId, AdapterId>>()

    /** Adapters that the engine drops once no request uses them; until then they occupy their places. */
    val leavingAdapters = HashSet<Pair<ModelId, AdapterId>>()

    /** Time at which each model came. */
    val loadedMillis = HashMap<ModelId, Long>()

    /** Orders that the engine has accepted, or null when it must be asked. */
    var acceptedOrders: Long? = null

    /** True while a call to the engine is under way. */
    var isCalling = false

    /** Time before which the engine is left alone. */
    var pausedUntilMillis = 0L

    /** What the engine is carrying out about a model, or null. */
    var step: ModelOperation? = null

    /** The swap under way, or null. */
    var swap: Swap? = null

    /** Time at which the swap was planned. */
    var swapPlannedMillis = 0L

    /** True once the engine has accepted an order of the swap. */
    var hasSwapBegun = false

    /** Time of the last order or report. */
    var lastWordMillis = Long.MIN_VALUE / 2

    /** Plans [newSwap]. */
    fun plan(newSwap: Swap, nowMillis: Long) {
        swap = newSwap
        swapPlannedMillis = nowMillis
        hasSwapBegun = false
    }

    /** Gives up a swap that could not begin for a while: demand has moved on, and its victim may be in use again. */
    fun dropOutdatedSwap(nowMillis: Long) {
        val isOutdated = !hasSwapBegun && !isCalling && nowMillis - swapPlannedMillis > SWAP_LIFETIME_MILLIS
        if (isOutdated) swap = null
    }

    /** Adapters of all models, those that are being dropped included. */
    val adapterCount: Int get() = models.values.sumOf { it.size } + leavingAdapters.size

    /** What is told to the other VMs. */
    val holdings: TargetHoldings get() = TargetHoldings(target.record.id, models.mapValues { it.value.toSet() })

    /** The engine says what it holds. */
    fun reported(held: Map<ModelId, Set<AdapterId>>) {
        models.clear()
        leavingAdapters.removeIf { (model, adapter) -> held[model]?.contains(adapter) != true }
        for ((model, adapters) in held) {
            models[model] = adapters.filterTo(HashSet()) { (model to it) !in leavingAdapters }
        }
    }

    /** Megabytes that neither models nor adapters occupy, those that are being dropped included. */
    fun freeMegabytes(profile: EngineProfile): Double {
        val leaving = step?.takeIf { it.kind == OrderKind.UNLOAD }?.model
        val held = models.keys + setOfNotNull(leaving)
        return profile.weightsMegabytes - held.sumOf { occupiedMegabytes(it, profile) }
    }

    /** What the planner sees of the engine. */
    fun view(profile: EngineProfile, nowMillis: Long): EngineSnapshot {
        val record = target.record
        val isReachable = !target.health.isSuspended(nowMillis)
        // An engine that is asked again after an order, or paused for a moment, takes the next order within the time
        // that a planned swap waits; one that has not answered for longer does not.
        val isAnswering = acceptedOrders != null || nowMillis - lastWordMillis < SWAP_LIFETIME_MILLIS
        val isPaused = nowMillis + SWAP_LIFETIME_MILLIS / 2 < pausedUntilMillis
        val isIdle = isAnswering && step == null && swap == null && !isPaused
        return EngineSnapshot(
            target = record.id,
            models = models.keys.toSet(),
            coming = swap?.load ?: step?.takeIf { it.kind == OrderKind.LOAD }?.model,
            isReachable = isReachable,
            freeInMillis = if (isReachable) freeInMillis(isIdle, nowMillis) else null,
            freeMegabytes = freeMegabytes(profile),
            occupiedMegabytes = models.keys.associateWith { occupiedMegabytes(it, profile) },
            modelsInMemory = record.modelsInMemory,
            modelsOnDisk = record.modelsOnDisk,
            recent = loadedMillis.filterValues { nowMillis - it < RECENT_LOAD_MILLIS }.keys,
            requests = target.peerLoad.requests + target.attempts.size,
        )
    }

    private fun freeInMillis(isIdle: Boolean, nowMillis: Long): Long? {
        val remaining = step?.let { (it.expectedMillis - nowMillis).coerceAtLeast(LEAST_STEP_MILLIS) } ?: 0
        val next = swap?.takeIf { step?.kind != OrderKind.LOAD }?.loadMillis ?: 0
        return when {
            isIdle -> 0
            step == null && swap == null -> null
            else -> (remaining + next).coerceAtLeast(LEAST_STEP_MILLIS)
        }
    }

    private fun occupiedMegabytes(model: ModelId, profile: EngineProfile): Double {
        val known = profile.models[model] ?: return profile.weightsMegabytes
        val adapters = (models[model]?.size ?: 0) + leavingAdapters.count { (of, _) -> of == model }
        return known.weightsMegabytes + adapters * known.adapterMegabytes
    }
}
