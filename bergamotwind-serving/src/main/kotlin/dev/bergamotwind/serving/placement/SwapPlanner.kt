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
internal class SwapPlanner(private val profile: EngineProfile) {
    /**
     * Returns the swaps to start now, at most one for each engine; [storeLoads] loads may come from the weight store.
     */
    fun plan(engines: List<EngineSnapshot>, demand: Map<ModelId, ModelDemand>, storeLoads: Int): List<Swap> {
        val copies = Copies(engines.filter { it.isReachable })
        val usable = engines.filter { it.freeInMillis != null }.toMutableList()
        val settled = HashSet<ModelId>()
        var storeLoadsLeft = storeLoads
        val swaps = mutableListOf<Swap>()
        var model = neediest(demand, copies, settled)
        while (model != null && usable.any { it.freeInMillis == 0L }) {
            val busy = engines.size - usable.count { it.freeInMillis == 0L }
            val price = storePrice(busy.toDouble() / engines.size, model.id, copies)
            val swap = bestSwap(usable, model, demand, copies, if (storeLoadsLeft > 0) price else Double.MAX_VALUE)
            if (swap == null) {
                settled += model.id
            } else if (swap.waitMillis > 0) {
                // A busy engine with local weights has the model sooner than another engine that loads it from the
                // weight store.
                settled += model.id
                usable.removeIf { it.target == swap.target }
            } else {
                if (swap.fromStore) storeLoadsLeft--
                swaps += swap
                usable.removeIf { it.target == swap.target }
                copies.planned(swap)
            }
            model = neediest(demand, copies, settled)
        }
        return swaps
    }

    /**
     * Minimum gain of a load from the weight store, in milliseconds of work a second. Such a load blocks all other
     * orders of its engine for many seconds, which costs more the fewer engines are idle; the last idle ones are
     * reserved for models that no engine holds or loads.
     */
    private fun storePrice(busyShare: Double, model: ModelId, copies: Copies): Double {
        val factor = if (copies.expected(model) > 0) FURTHER_COPY_FACTOR else 1.0
        return STORE_LOAD_PRICE * busyShare.pow(STORE_PRICE_POWER) * factor
    }

    private fun bestSwap(
        usable: List<EngineSnapshot>,
        model: ServedModel,
        demand: Map<ModelId, ModelDemand>,
        copies: Copies,
        storePrice: Double,
    ): Swap? {
        val gain = gain(demand[model.id], copies.expected(model.id))
        return usable.mapNotNull { candidate(it, model, demand, copies) }
            .filter { gain > it.loss * SWAP_ADVANTAGE && (!it.swap.fromStore || gain > storePrice) }
            .minByOrNull { it.cost + gain * it.delayMillis / MILLIS_PER_SECOND }?.swap
    }

    private fun neediest(demand: Map<ModelId, ModelDemand>, copies: Copies, settled: Set<ModelId>): ServedModel? =
        demand.entries
            .filter { (model, _) -> model !in settled && model in profile.models }
            .map { (model, value) -> model to gain(value, copies.expected(model)) }
            .filter { (_, gain) -> gain >= LEAST_GAIN }
            .maxByOrNull { (_, gain) -> gain }
            ?.let { (model, _) -> profile.models[model] }

    /** Milliseconds of work a second that [copies] of a model cannot handle. */
    private fun undone(demand: ModelDemand?, copies: Int): Double {
        if (demand == null) return 0.0
        // A single copy is lost with its engine, and the model would then be unavailable for the time of a whole load.
        val risked = if (copies == 1) demand.workPerSecond * SINGLE_COPY_RISK else 0.0
        if (copies > 0) return max(0.0, demand.workPerSecond - copies * WORK_PER_COPY) + risked
        val isAsked = demand.waiting > 0 || demand.workPerSecond >= LEAST_WORK
        return demand.workPerSecond + demand.waiting * WAITING_WORK + if (isAsked) UNREACHABLE_WORK else 0.0
    }

    private fun gain(demand: ModelDemand?, copies: Int): Double = undone(demand, copies) - undone(demand, copies + 1)

    private fun loss(model: ModelId, engine: EngineSnapshot, demand: ModelDemand?, copies: Copies): Double {
        val present = copies.present(model).coerceAtLeast(1)
        val lost = undone(demand, present - 1) - undone(demand, present)
        return lost + when {
            present > 1 -> SPARE_COPY_LOSS

            // The next request of an idle model waits for a load, a short one if the weights stay on the engine.
            copies.places(model) > 1 || model in engine.modelsInMemory || model in engine.modelsOnDisk -> LAST_COPY_LOSS

            else -> LAST_WEIGHTS_LOSS
        }
    }

    private fun candidate(
        engine: EngineSnapshot,
        model: ServedModel,
        demand: Map<ModelId, ModelDemand>,
        copies: Copies,
    ): Candidate? {
        if (model.id in engine.models) return null
        val victims = engine.models
            .filter { it !in engine.recent || !isInUse(demand[it]) }
            .map { it to loss(it, engine, demand[it], copies) }
            .sortedBy { (victim, loss) -> loss + if (isInUse(demand[victim])) IN_USE_LOSS else 0.0 }
        var free = engine.freeMegabytes
        val dropped = victims.takeWhile { (victim, _) ->
            (free < model.weightsMegabytes).also { if (it) free += engine.occupiedMegabytes[victim] ?: 0.0 }
        }
        if (free < model.weightsMegabytes) return null
        val loss = dropped.sumOf { (_, loss) -> loss }
        val swap = swap(engine, model, dropped.map { (victim, _) -> victim })
        val disturbance = if (dropped.isEmpty()) 0.0 else engine.requests * REQUEST_DISTURBANCE
        val dropMillis = when {
            dropped.isEmpty() -> 0
            dropped.any { (victim, _) -> isInUse(demand[victim]) } -> BUSY_DROP_MILLIS
            else -> IDLE_DROP_MILLIS
        }
        val risk = if (swap.fromStore) evictionRisk(engine, copies) else 0.0
        val delayMillis = swap.waitMillis + swap.loadMillis + dropMillis
        return Candidate(swap, loss, (loss + risk + disturbance) * HORIZON_SECONDS, delayMillis)
    }

    private fun isInUse(demand: ModelDemand?) = (demand?.workPerSecond ?: 0) >= LEAST_WORK

    /** Expected loss by the model that the engine's disk evicts for a new one, if no other engine has its weights. */
    private fun evictionRisk(engine: EngineSnapshot, copies: Copies): Double {
        val evictable = engine.modelsOnDisk - engine.models
        val alone = evictable.count { copies.places(it) == 1 }
        return if (evictable.isEmpty()) 0.0 else LAST_WEIGHTS_LOSS * alone / evictable.size
    }

    private fun swap(engine: EngineSnapshot, model: ServedModel, drop: List<ModelId>): Swap {
        val (loadMillis, fromStore) = when (model.id) {
            in engine.modelsInMemory -> model.memoryLoadMillis to false
            in engine.modelsOnDisk -> model.diskLoadMillis to false
            else -> model.storeLoadMillis to true
        }
        return Swap(engine.target, model.id, drop, loadMillis, fromStore, engine.freeInMillis ?: 0)
    }

    /** Number of reachable engines that hold each model, that will hold it, and that have its weights. */
    private class Copies(engines: List<EngineSnapshot>) {
        private val present = HashMap<ModelId, Int>()
        private val coming = HashMap<ModelId, Int>()
        private val places = HashMap<ModelId, Int>()

        init {
            for (engine in engines) {
                engine.models.forEach { present.merge(it, 1, Int::plus) }
                engine.coming?.let { coming.merge(it, 1, Int::plus) }
                engine.atHand.forEach { places.merge(it, 1, Int::plus) }
            }
        }

        /** Returns the number of copies that are loaded now. */
        fun present(model: ModelId): Int = present[model] ?: 0

        /** Returns the number of copies that are loaded now or being loaded. */
        fun expected(model: ModelId): Int = present(model) + (coming[model] ?: 0)

        fun places(model: ModelId): Int = places[model] ?: 0

        fun planned(swap: Swap) {
            coming.merge(swap.load, 1, Int::plus)
            swap.drop.forEach { present.merge(it, -1, Int::plus) }
        }
    }

    /** A possible swap. [loss] is in milliseconds of work a second, [cost] in milliseconds of work. */
    private class Candidate(val swap: Swap, val loss: Double, val cost: Double, val delayMillis: Long)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
