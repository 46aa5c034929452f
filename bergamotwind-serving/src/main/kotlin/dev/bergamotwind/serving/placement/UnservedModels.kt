package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.catalogue.EngineProfile
import dev.bergamotwind.serving.peer.ModelDemand

/**
 * Measures how long models have been asked for while no engine holds or loads them, so that a rarely used model is
 * served within a bound however busy the others are. Used on the serving loop.
 */
internal class UnservedModels {
    private val sinceMillis = HashMap<ModelId, Long>()

    /** Records the state at [nowMillis] and returns the models that have been asked for in vain beyond the bound. */
    fun update(
        profile: EngineProfile,
        engines: List<EngineSnapshot>,
        demand: Map<ModelId, ModelDemand>,
        nowMillis: Long,
    ): Set<ModelId> {
        val reachable = engines.filter { it.isReachable }
        val served = reachable.flatMap { it.models + setOfNotNull(it.incomingModel) }.toSet()
        val unserved = demand.filterValues { it.waiting > 0 || it.workPerSecond > 0 }.keys - served
        sinceMillis.keys.retainAll(unserved)
        unserved.forEach { sinceMillis.putIfAbsent(it, nowMillis) }
        // A model that takes long to load also keeps its engine from other loads for long.
        return sinceMillis.filter { (model, since) ->
            val loadMillis = profile.models[model]?.storeLoadMillis ?: 0L
            nowMillis - since >= UNSERVED_LOAD_TIMES * loadMillis
        }.keys
    }
}
