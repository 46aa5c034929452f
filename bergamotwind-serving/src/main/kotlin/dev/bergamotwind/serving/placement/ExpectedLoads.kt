package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.peer.ExpectedModel

/**
 * The running loads of models as the placement holder last announced them. The loads of an earlier holder continue
 * after its term, and the next holder must not order them again. Used on the serving loop.
 */
internal class ExpectedLoads(private val loop: ServingLoop) {
    /** A load that is expected to end at [endMillis]. */
    internal class Load(val model: ModelId, val endMillis: Long)

    private val loads = HashMap<TargetId, Load>()

    /** Replaces the loads by the announced [models]; returns true when a model is expected that was not before. */
    fun replaceAll(models: List<ExpectedModel>): Boolean {
        val now = loop.nowMillis()
        val knownModels = loads.values.mapTo(HashSet()) { it.model }
        loads.clear()
        models.forEach { loads[it.target] = Load(it.model, now + it.remainingMillis) }
        return models.any { it.model !in knownModels }
    }

    /**
     * Returns the milliseconds until [model] is loaded by the first of the engines that load it, or null when none
     * does.
     */
    fun millisUntilLoaded(model: ModelId): Long? =
        loads.values.filter { it.model == model }.minOfOrNull { (it.endMillis - loop.nowMillis()).coerceAtLeast(0) }

    /** Returns the running load on [target], or null. */
    fun runningLoad(target: TargetId): Load? = loads[target]?.takeIf { it.endMillis > loop.nowMillis() }
}
