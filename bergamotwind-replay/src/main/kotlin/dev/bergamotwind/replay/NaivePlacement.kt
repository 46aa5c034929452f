package dev.bergamotwind.replay

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.configuration.Model
import dev.bergamotwind.configuration.OperatorConfiguration

/**
 * Baseline: follows the demand of the last interval without smoothing, hysteresis or move cost. Each model has one
 * copy; the remaining memory goes to models in order of demand for each copy, and whatever is not wanted is unloaded.
 */
internal class NaivePlacement(private val configuration: OperatorConfiguration) : PlacementStrategy {
    override var moves: Int = 0
        private set

    override fun step(round: PlacementRound) {
        val engines = round.engines.values
            .filter { it.target.id in round.reports && it.target.failureDomain !in round.unreachable }
        val wanted = engines.associateWith { mutableSetOf<Model>() }
        val free = engines.associateWith { it.target.memory.value }.toMutableMap()
        val bySize = configuration.models.values.sortedWith(compareByDescending<Model> { it.memory }.thenBy { it.id })
        bySize.forEach { place(it, wanted, free) }
        do {
            val next = bySize.filter { model -> room(model, wanted, free).isNotEmpty() }.maxByOrNull { model ->
                round.offered.of(model.id) / wanted.values.count { model in it }.coerceAtLeast(1)
            }
            if (next != null) place(next, wanted, free)
        } while (next != null)
        wanted.forEach { (engine, models) -> follow(engine, models) }
    }

    private fun follow(engine: VirtualEngine, models: Set<Model>) {
        val artifacts = models.associateBy { Artifact(it.id, it.version) }
        val present = engine.report()?.artifacts.orEmpty().map { it.artifact }.toSet()
        present.filter { it !in artifacts }.forEach { engine.unload(it, 0) }
        for ((artifact, model) in artifacts.filterKeys { it !in present }) {
            engine.load(artifact, model.memory, 0)
            moves++
        }
    }

    private fun place(
        model: Model,
        wanted: Map<VirtualEngine, MutableSet<Model>>,
        free: MutableMap<VirtualEngine, Long>,
    ) {
        val engine = room(model, wanted, free).maxByOrNull { free.getValue(it) } ?: return
        wanted.getValue(engine) += model
        free[engine] = free.getValue(engine) - model.memory.value
    }

    private fun room(model: Model, wanted: Map<VirtualEngine, Set<Model>>, free: Map<VirtualEngine, Long>) =
        wanted.keys.filter { model !in wanted.getValue(it) && free.getValue(it) >= model.memory.value }
}
