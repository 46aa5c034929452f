package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.catalogue.EngineProfile
import dev.bergamotwind.serving.catalogue.ServedModel
import dev.bergamotwind.serving.peer.ModelDemand
import kotlin.math.ceil

/**
 * Decides which model an engine should load next, and which ones make room. Models that no engine holds and that
 * requests wait for come first, then those with the most work for each copy. A model gives way when it has copies to
 * spare or far less work than the one that comes; the copy at hand decides between engines. Pure.
 */
internal class SwapPlanner(private val profile: EngineProfile) {
    /** Returns the swaps to begin now, at most one an engine; [storeLoads] loads may come from the weight store. */
    fun plan(engines: List<EngineView>, demand: Map<ModelId, ModelDemand>, storeLoads: Int): List<Swap> {
        val copies = HashMap<ModelId, Int>()
        engines.filter { it.isReachable }.forEach { engine ->
            (engine.models + setOfNotNull(engine.coming)).forEach { copies.merge(it, 1, Int::plus) }
        }
        val free = engines.filter { it.isFree }.toMutableList()
        var storeLoadsLeft = storeLoads
        val swaps = mutableListOf<Swap>()
        for (model in wanted(demand, copies)) {
            val swap = free.mapNotNull { swap(it, model, demand, copies) }
                .filter { (swap, _) -> !swap.fromStore || storeLoadsLeft > 0 }
                .minWithOrNull(compareBy({ (_, loss) -> loss }, { (swap, _) -> swap.loadMillis }))
                ?.first ?: continue
            if (swap.fromStore) storeLoadsLeft--
            swaps += swap
            free.removeIf { it.target == swap.target }
            copies.merge(model.id, 1, Int::plus)
            swap.drop.forEach { copies.merge(it, -1, Int::plus) }
        }
        return swaps
    }

    /** Copies that the work of a model needs. */
    fun copiesNeeded(demand: ModelDemand?): Int = when {
        demand == null || (demand.waiting == 0 && demand.workPerSecond < LEAST_WORK) -> 0
        else -> ceil(demand.workPerSecond / WORK_PER_COPY).toInt().coerceAtLeast(1)
    }

    private fun wanted(demand: Map<ModelId, ModelDemand>, copies: Map<ModelId, Int>): List<ServedModel> =
        demand.filter { (model, value) -> (copies[model] ?: 0) < copiesNeeded(value) }
            .keys.mapNotNull { profile.models[it] }
            .sortedWith(
                compareBy(
                    { if ((copies[it.id] ?: 0) == 0) 0 else 1 },
                    { -(gain(it.id, demand, copies)) },
                ),
            )

    private fun gain(model: ModelId, demand: Map<ModelId, ModelDemand>, copies: Map<ModelId, Int>): Double {
        val value = demand[model] ?: return 0.0
        val held = copies[model] ?: 0
        val work = value.workPerSecond + value.waiting * WAITING_WORK
        return if (held == 0) work * UNREACHABLE_FACTOR else work / (held + 1)
    }

    private fun loss(model: ModelId, demand: Map<ModelId, ModelDemand>, copies: Map<ModelId, Int>): Double {
        val value = demand[model]
        val held = copies[model] ?: 1
        val work = (value?.workPerSecond ?: 0).toDouble()
        return when {
            // Dropping the last copy of a quiet model makes its next request wait for a load.
            held <= 1 -> work * UNREACHABLE_FACTOR + LAST_COPY_LOSS

            held - 1 >= copiesNeeded(value) -> work / held * SPARE_COPY_FACTOR

            else -> work / (held - 1)
        }
    }

    private fun swap(
        engine: EngineView,
        model: ServedModel,
        demand: Map<ModelId, ModelDemand>,
        copies: Map<ModelId, Int>,
    ): Pair<Swap, Double>? {
        if (model.id in engine.models) return null
        var free = engine.freeMegabytes
        var loss = 0.0
        val drop = mutableListOf<ModelId>()
        val byLoss = engine.models.filter { it !in engine.recent || (demand[it]?.workPerSecond ?: 0) < LEAST_WORK }
            .sortedBy { loss(it, demand, copies) }
        for (victim in byLoss) {
            if (free >= model.weightsMegabytes) break
            free += engine.occupiedMegabytes[victim] ?: 0.0
            loss += loss(victim, demand, copies)
            drop += victim
        }
        if (free < model.weightsMegabytes) return null
        if (loss > 0 && gain(model.id, demand, copies) < loss * SWAP_ADVANTAGE) return null
        val (loadMillis, fromStore) = when (model.id) {
            in engine.modelsInMemory -> model.memoryLoadMillis to false
            in engine.modelsOnDisk -> model.diskLoadMillis to false
            else -> model.storeLoadMillis to true
        }
        val disturbance = if (drop.isEmpty()) 0.0 else engine.requests * REQUEST_DISTURBANCE
        return Swap(engine.target, model.id, drop, loadMillis, fromStore) to
            loss + disturbance + loadMillis * LOAD_MILLIS_LOSS
    }
}
