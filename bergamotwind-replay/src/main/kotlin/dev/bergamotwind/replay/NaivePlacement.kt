package dev.bergamotwind.replay

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.configuration.Model
import dev.bergamotwind.configuration.OperatorConfiguration

/**
 * Baseline: follows the demand of the last interval without smoothing, hysteresis or move cost. Each model has one
 * copy; the remaining memory goes to models in order of demand for each copy, and every other model is unloaded.
 */
internal class NaivePlacement(private val configuration: OperatorConfiguration) : PlacementStrategy {
    override var moves: Int = 0
        private set

    override fun step(round: PlacementRound) {
        val engines = round.engines.values
            .filter { it.target.id in round.reports && it.target.failureDomain !in round.unreachable }
        val desired = engines.associateWith { mutableSetOf<Model>() }
        val freeMemory = engines.associateWith { it.target.memory.value }.toMutableMap()
        val bySize = configuration.models.values.sortedWith(compareByDescending<Model> { it.memory }.thenBy { it.id })
        bySize.forEach { addCopy(it, desired, freeMemory) }
        do {
            val next = bySize.filter { enginesWithSpace(it, desired, freeMemory).isNotEmpty() }.maxByOrNull { model ->
                round.offered.of(model.id) / desired.values.count { model in it }.coerceAtLeast(1)
            }
            if (next != null) addCopy(next, desired, freeMemory)
        } while (next != null)
        desired.forEach { (engine, models) -> applyPlacement(engine, models) }
    }

    private fun applyPlacement(engine: VirtualEngine, models: Set<Model>) {
        val artifacts = models.associateBy { Artifact(it.id, it.version) }
        val present = engine.report()?.artifacts.orEmpty().map { it.artifact }.toSet()
        present.filter { it !in artifacts }.forEach { engine.unload(it, 0) }
        for ((artifact, model) in artifacts.filterKeys { it !in present }) {
            engine.load(artifact, model.memory, 0)
            moves++
        }
    }

    private fun addCopy(
        model: Model,
        desired: Map<VirtualEngine, MutableSet<Model>>,
        freeMemory: MutableMap<VirtualEngine, Long>,
    ) {
        val engine = enginesWithSpace(model, desired, freeMemory).maxByOrNull { freeMemory.getValue(it) } ?: return
        desired.getValue(engine) += model
        freeMemory[engine] = freeMemory.getValue(engine) - model.memory.value
    }

    private fun enginesWithSpace(
        model: Model,
        desired: Map<VirtualEngine, Set<Model>>,
        freeMemory: Map<VirtualEngine, Long>,
    ) = desired.keys.filter { model !in desired.getValue(it) && freeMemory.getValue(it) >= model.memory.value }
}
