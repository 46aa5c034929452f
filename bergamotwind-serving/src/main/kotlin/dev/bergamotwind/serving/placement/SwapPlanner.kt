package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.catalogue.EngineProfile
import dev.bergamotwind.serving.catalogue.ServedModel
import dev.bergamotwind.serving.peer.ModelDemand
import kotlin.math.max

/**
 * Decides which model an engine should load next, and which ones make room. What counts is the work that no engine has
 * room for: a swap is made for the model with the most of it, at the engine where least is lost and the load is
 * shortest. Work of requests that already wait counts more, as they are the ones that become late. Pure.
 */
internal class SwapPlanner(private val profile: EngineProfile) {
    /** Returns the swaps to begin now, at most one an engine; [storeLoads] loads may come from the weight store. */
    fun plan(engines: List<EngineView>, demand: Map<ModelId, ModelDemand>, storeLoads: Int): List<Swap> {
        val copies = HashMap<ModelId, Int>()
        engines.filter { it.isReachable }.forEach { engine ->
            (engine.models + setOfNotNull(engine.coming)).forEach { copies.merge(it, 1, Int::plus) }
        }
        val usable = engines.filter { it.freeInMillis != null }.toMutableList()
        val settled = HashSet<ModelId>()
        var storeLoadsLeft = storeLoads
        val swaps = mutableListOf<Swap>()
        var model = neediest(demand, copies, settled)
        while (model != null && usable.any { it.freeInMillis == 0L }) {
            val swap = bestSwap(usable, model, demand, copies, storeLoadsLeft)
            if (swap == null) {
                settled += model.id
            } else if (swap.waitMillis > 0) {
                // A copy at hand at a busy engine is there sooner than a load from the weight store elsewhere.
                settled += model.id
                usable.removeIf { it.target == swap.target }
            } else {
                if (swap.fromStore) storeLoadsLeft--
                swaps += swap
                usable.removeIf { it.target == swap.target }
                copies.merge(model.id, 1, Int::plus)
                swap.drop.forEach { copies.merge(it, -1, Int::plus) }
            }
            model = neediest(demand, copies, settled)
        }
        return swaps
    }

    private fun bestSwap(
        usable: List<EngineView>,
        model: ServedModel,
        demand: Map<ModelId, ModelDemand>,
        copies: Map<ModelId, Int>,
        storeLoads: Int,
    ): Swap? {
        val gain = gain(demand[model.id], copies[model.id] ?: 0)
        return usable.mapNotNull { candidate(it, model, demand, copies) }
            .filter { gain > it.loss * SWAP_ADVANTAGE && (!it.swap.fromStore || storeLoads > 0) }
            .minByOrNull { it.cost + gain * (it.swap.waitMillis + it.swap.loadMillis) / MILLIS_PER_SECOND }?.swap
    }

    private fun neediest(
        demand: Map<ModelId, ModelDemand>,
        copies: Map<ModelId, Int>,
        settled: Set<ModelId>,
    ): ServedModel? = demand.entries
        .filter { (model, _) -> model !in settled && model in profile.models }
        .map { (model, value) -> model to gain(value, copies[model] ?: 0) }
        .filter { (_, gain) -> gain >= LEAST_GAIN }
        .maxByOrNull { (_, gain) -> gain }
        ?.let { (model, _) -> profile.models[model] }

    /** Milliseconds of work a second that [copies] of a model leave undone. */
    private fun undone(demand: ModelDemand?, copies: Int): Double {
        if (demand == null) return 0.0
        if (copies > 0) return max(0.0, demand.workPerSecond - copies * WORK_PER_COPY)
        val isAsked = demand.waiting > 0 || demand.workPerSecond >= LEAST_WORK
        return demand.workPerSecond + demand.waiting * WAITING_WORK + if (isAsked) UNREACHABLE_WORK else 0.0
    }

    private fun gain(demand: ModelDemand?, copies: Int): Double = undone(demand, copies) - undone(demand, copies + 1)

    private fun loss(model: ModelId, engine: EngineView, demand: ModelDemand?, copies: Int): Double {
        val lost = undone(demand, copies - 1) - undone(demand, copies)
        return lost + when {
            copies > 1 -> SPARE_COPY_LOSS

            // The next request of a quiet model waits for a load, a short one if the weights stay at hand.
            model in engine.modelsInMemory || model in engine.modelsOnDisk -> LAST_COPY_LOSS

            else -> LAST_WEIGHTS_LOSS
        }
    }

    private fun candidate(
        engine: EngineView,
        model: ServedModel,
        demand: Map<ModelId, ModelDemand>,
        copies: Map<ModelId, Int>,
    ): Candidate? {
        if (model.id in engine.models) return null
        val victims = engine.models
            .filter { it !in engine.recent || (demand[it]?.workPerSecond ?: 0) < LEAST_WORK }
            .map { it to loss(it, engine, demand[it], copies[it] ?: 1) }
            .sortedBy { (_, loss) -> loss }
        var free = engine.freeMegabytes
        val dropped = victims.takeWhile { (victim, _) ->
            (free < model.weightsMegabytes).also { if (it) free += engine.occupiedMegabytes[victim] ?: 0.0 }
        }
        if (free < model.weightsMegabytes) return null
        val loss = dropped.sumOf { (_, loss) -> loss }
        val swap = swap(engine, model, dropped.map { (victim, _) -> victim })
        val disturbance = if (dropped.isEmpty()) 0.0 else engine.requests * REQUEST_DISTURBANCE
        return Candidate(swap, loss, (loss + disturbance) * HORIZON_SECONDS)
    }

    private fun swap(engine: EngineView, model: ServedModel, drop: List<ModelId>): Swap {
        val (loadMillis, fromStore) = when (model.id) {
            in engine.modelsInMemory -> model.memoryLoadMillis to false
            in engine.modelsOnDisk -> model.diskLoadMillis to false
            else -> model.storeLoadMillis to true
        }
        return Swap(engine.target, model.id, drop, loadMillis, fromStore, engine.freeInMillis ?: 0)
    }

    /** [loss] is in milliseconds of work a second, [cost] in milliseconds of work. */
    private class Candidate(val swap: Swap, val loss: Double, val cost: Double)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
