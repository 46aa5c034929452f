package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.catalogue.EngineProfile
import dev.bergamotwind.serving.catalogue.ServedModel
import dev.bergamotwind.serving.peer.ModelDemand
import kotlin.math.max
import kotlin.math.pow

/**
 * Decides which model an engine should load next, and which models it unloads for that. Models are ranked by the work
 * that their copies cannot handle: each swap is made for the model with the most of it, at the engine with the least
 * loss and the shortest load. Work of waiting requests counts more, as those miss their deadlines first. Has no state
 * and no side effects.
 */
internal class SwapPlanner(
    private val profile: EngineProfile,
    /**
     * Models that have been asked for in vain for so long that they are loaded before all others, whatever the models
     * that are unloaded for them are worth.
     */
    private val overdue: Set<ModelId> = emptySet(),
) {
    /**
     * Returns the swaps to start now, at most one for each engine; [storeLoads] loads may come from the weight store.
     */
    fun plan(engines: List<EngineSnapshot>, demand: Map<ModelId, ModelDemand>, storeLoads: Int): List<Swap> {
        val copies = CopyCounts(engines.filter { it.isReachable })
        val available = engines.filter { it.availableInMillis != null }.toMutableList()
        val handled = HashSet<ModelId>()
        var storeLoadsLeft = storeLoads
        val swaps = mutableListOf<Swap>()
        var model = modelWithHighestGain(demand, copies, handled)
        while (model != null && available.any { it.availableInMillis == 0L }) {
            val busy = engines.size - available.count { it.availableInMillis == 0L }
            val minGain = when {
                storeLoadsLeft <= 0 -> Double.MAX_VALUE
                model.id in overdue -> 0.0
                else -> minStoreLoadGain(busy.toDouble() / engines.size, model.id, copies)
            }
            val swap = bestSwap(available, model, demand, copies, minGain)
            if (swap == null) {
                handled += model.id
            } else if (swap.waitMillis > 0) {
                // A busy engine with local weights has the model sooner than another engine that loads it from the
                // weight store.
                handled += model.id
                available.removeIf { it.target == swap.target }
            } else {
                if (swap.isFromStore) storeLoadsLeft--
                swaps += swap
                available.removeIf { it.target == swap.target }
                copies.applySwap(swap)
            }
            model = modelWithHighestGain(demand, copies, handled)
        }
        return swaps
    }

    /**
     * Minimum gain of a load from the weight store, in milliseconds of work a second. Such a load blocks all other
     * orders of its engine for many seconds, which costs more the fewer engines are idle; the last idle ones are
     * reserved for models that no engine holds or loads.
     */
    private fun minStoreLoadGain(busyShare: Double, model: ModelId, copies: CopyCounts): Double {
        val factor = if (copies.expected(model) > 0) ADDITIONAL_COPY_FACTOR else 1.0
        return STORE_LOAD_GAIN_WHEN_ALL_BUSY * busyShare.pow(STORE_LOAD_GAIN_EXPONENT) * factor
    }

    private fun bestSwap(
        available: List<EngineSnapshot>,
        model: ServedModel,
        demand: Map<ModelId, ModelDemand>,
        copies: CopyCounts,
        minStoreLoadGain: Double,
    ): Swap? {
        val gain = gainOfAnotherCopy(demand[model.id], copies.expected(model.id))
        val isOverdue = model.id in overdue
        return available.mapNotNull { evaluateSwap(it, model, demand, copies) }
            .filter { isOverdue || gain > it.loss * MIN_GAIN_TO_LOSS_RATIO }
            .filter { !it.swap.isFromStore || gain > minStoreLoadGain }
            .minByOrNull { it.cost + gain * it.delayMillis / MILLIS_PER_SECOND }?.swap
    }

    private fun modelWithHighestGain(
        demand: Map<ModelId, ModelDemand>,
        copies: CopyCounts,
        handled: Set<ModelId>,
    ): ServedModel? = demand.entries
        .filter { (model, _) -> model !in handled && model in profile.models }
        .map { (model, value) -> model to gainOfAnotherCopy(value, copies.expected(model)) }
        .filter { (model, gain) -> gain >= MIN_SWAP_GAIN || isOverdue(model, copies) }
        .maxWithOrNull(compareBy({ (model, _) -> isOverdue(model, copies) }, { (_, gain) -> gain }))
        ?.let { (model, _) -> profile.models[model] }

    private fun isOverdue(model: ModelId, copies: CopyCounts) = model in overdue && copies.expected(model) == 0

    /**
     * Milliseconds of work a second that [copies] of a model cannot handle, weighted by their share of the model's
     * work: the first copies of a model matter more than a further copy of one that is served for the most part.
     */
    private fun unhandledWork(demand: ModelDemand?, copies: Int): Double {
        if (demand == null) return 0.0
        val work = demand.workPerSecond.toDouble()
        // A single copy is lost with its engine, and the model would then be unavailable for the time of a whole load.
        val workAtRisk = if (copies == 1) work * SINGLE_COPY_RISK_SHARE else 0.0
        if (copies > 0) {
            val excess = max(0.0, work - copies * WORK_MILLIS_PER_COPY)
            return (if (excess > 0) excess * excess / work else 0.0) + workAtRisk
        }
        val isRequested = demand.waiting > 0 || work >= MIN_ACTIVE_WORK
        return work + demand.waiting * WORK_PER_WAITING_REQUEST + if (isRequested) UNLOADED_MODEL_WORK else 0.0
    }

    private fun gainOfAnotherCopy(demand: ModelDemand?, copies: Int): Double =
        unhandledWork(demand, copies) - unhandledWork(demand, copies + 1)

    private fun lossOfCopy(model: ModelId, engine: EngineSnapshot, demand: ModelDemand?, copies: CopyCounts): Double {
        val present = copies.present(model).coerceAtLeast(1)
        val lost = unhandledWork(demand, present - 1) - unhandledWork(demand, present)
        return lost + when {
            present > 1 -> REDUNDANT_COPY_LOSS

            // The next request of an idle model waits for a load, a short one if the weights stay on the engine.
            copies.localWeights(model) > 1 || model in engine.modelsInMemory || model in engine.modelsOnDisk ->
                LAST_COPY_LOSS

            else -> LAST_LOCAL_WEIGHTS_LOSS
        }
    }

    private fun evaluateSwap(
        engine: EngineSnapshot,
        model: ServedModel,
        demand: Map<ModelId, ModelDemand>,
        copies: CopyCounts,
    ): Candidate? {
        if (model.id in engine.models) return null
        val victims = engine.models
            .filter { it !in engine.recentlyLoaded || !isInUse(demand[it]) }
            .map { it to lossOfCopy(it, engine, demand[it], copies) }
            .sortedBy { (victim, loss) -> loss + if (isInUse(demand[victim])) IN_USE_UNLOAD_LOSS else 0.0 }
        var free = engine.freeMegabytes
        val evicted = victims.takeWhile { (victim, _) ->
            (free < model.weightsMegabytes).also { if (it) free += engine.occupiedMegabytes[victim] ?: 0.0 }
        }
        if (free < model.weightsMegabytes) return null
        val loss = evicted.sumOf { (_, loss) -> loss }
        val swap = createSwap(engine, model, evicted.map { (victim, _) -> victim })
        val disturbance = if (evicted.isEmpty()) 0.0 else engine.runningRequests * LOSS_PER_RUNNING_REQUEST
        val unloadMillis = when {
            evicted.isEmpty() -> 0
            evicted.any { (victim, _) -> isInUse(demand[victim]) } -> BUSY_UNLOAD_MILLIS
            else -> IDLE_UNLOAD_MILLIS
        }
        val risk = if (swap.isFromStore) evictionRisk(engine, copies) else 0.0
        val delayMillis = swap.waitMillis + swap.loadMillis + unloadMillis
        return Candidate(swap, loss, (loss + risk + disturbance) * SWAP_HORIZON_SECONDS, delayMillis)
    }

    private fun isInUse(demand: ModelDemand?) = (demand?.workPerSecond ?: 0) >= MIN_ACTIVE_WORK

    /** Expected loss by the model that the engine's disk evicts for a new one, if no other engine has its weights. */
    private fun evictionRisk(engine: EngineSnapshot, copies: CopyCounts): Double {
        val evictable = engine.modelsOnDisk - engine.models
        val onlyCopies = evictable.count { copies.localWeights(it) == 1 }
        return if (evictable.isEmpty()) 0.0 else LAST_LOCAL_WEIGHTS_LOSS * onlyCopies / evictable.size
    }

    private fun createSwap(engine: EngineSnapshot, model: ServedModel, modelsToUnload: List<ModelId>): Swap {
        val (loadMillis, isFromStore) = when (model.id) {
            in engine.modelsInMemory -> model.memoryLoadMillis to false
            in engine.modelsOnDisk -> model.diskLoadMillis to false
            else -> model.storeLoadMillis to true
        }
        return Swap(engine.target, model.id, modelsToUnload, loadMillis, isFromStore, engine.availableInMillis ?: 0)
    }

    /** Number of reachable engines that hold each model, that will hold it, and that have its weights. */
    private class CopyCounts(engines: List<EngineSnapshot>) {
        private val present = HashMap<ModelId, Int>()
        private val incoming = HashMap<ModelId, Int>()
        private val localWeights = HashMap<ModelId, Int>()

        init {
            for (engine in engines) {
                engine.models.forEach { present.merge(it, 1, Int::plus) }
                engine.incomingModel?.let { incoming.merge(it, 1, Int::plus) }
                engine.modelsAvailableLocally.forEach { localWeights.merge(it, 1, Int::plus) }
            }
        }

        /** Returns the number of copies that are loaded now. */
        fun present(model: ModelId): Int = present[model] ?: 0

        /** Returns the number of copies that are loaded now or being loaded. */
        fun expected(model: ModelId): Int = present(model) + (incoming[model] ?: 0)

        fun localWeights(model: ModelId): Int = localWeights[model] ?: 0

        fun applySwap(swap: Swap) {
            incoming.merge(swap.modelToLoad, 1, Int::plus)
            swap.modelsToUnload.forEach { present.merge(it, -1, Int::plus) }
        }
    }

    /** A possible swap. [loss] is in milliseconds of work a second, [cost] in milliseconds of work. */
    private class Candidate(val swap: Swap, val loss: Double, val cost: Double, val delayMillis: Long)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
