package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.peer.ExpectedModel

/**
 * The loads of models that the holder of orders has told, also an earlier holder: its loads go on after its end, and
 * the next holder must not order them once more. Used on the serving loop.
 */
internal class ExpectedLoads(private val loop: ServingLoop) {
    /** A load that is expected to end at [endMillis]. */
    internal class Load(val model: ModelId, val endMillis: Long)

    private val loads = HashMap<TargetId, Load>()

    /** Takes in what the holder tells; true when a model is expected that was not before. */
    fun told(models: List<ExpectedModel>): Boolean {
        val now = loop.nowMillis()
        val known = loads.values.mapTo(HashSet()) { it.model }
        loads.clear()
        models.forEach { loads[it.target] = Load(it.model, now + it.millis) }
        return models.any { it.model !in known }
    }

    /** Milliseconds until [model] is expected at the first of the engines that load it, or null when none does. */
    fun millisUntil(model: ModelId): Long? =
        loads.values.filter { it.model == model }.minOfOrNull { (it.endMillis - loop.nowMillis()).coerceAtLeast(0) }

    /** The load under way at [target], or null. */
    fun at(target: TargetId): Load? = loads[target]?.takeIf { it.endMillis > loop.nowMillis() }
}
