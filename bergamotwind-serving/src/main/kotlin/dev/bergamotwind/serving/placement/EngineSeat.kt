package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.targets.TargetState

/** What the holder of orders knows and does about one engine. */
internal class EngineSeat(val target: TargetState) {
    /** Models held, each with its adapters, as the orders and reports so far tell. */
    val models = HashMap<ModelId, MutableSet<AdapterId>>()

    /** Last use of each adapter, for choosing the one that makes room. */
    val adapterUse = HashMap<Pair<ModelId, AdapterId>, Long>()

    /** Adapters that requests wait for, oldest first. */
    val wanted = LinkedHashMap<Pair<ModelId, AdapterId>, Long>()

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
    var step: SeatStep? = null

    /** The swap under way, or null. */
    var swap: Swap? = null

    /** Time of the last order or report. */
    var lastWordMillis = 0L

    /** Adapters of all models, those that are being dropped included. */
    val adapterCount: Int get() = models.values.sumOf { it.size } + leavingAdapters.size

    /** Adapters of [model], those that are being dropped included. */
    fun adapterCount(model: ModelId): Int =
        (models[model]?.size ?: 0) + leavingAdapters.count { (of, _) -> of == model }

    /** The engine says what it holds. */
    fun reported(held: Map<ModelId, Set<AdapterId>>) {
        models.clear()
        leavingAdapters.removeIf { (model, adapter) -> held[model]?.contains(adapter) != true }
        for ((model, adapters) in held) {
            models[model] = adapters.filterTo(HashSet()) { (model to it) !in leavingAdapters }
        }
    }
}
