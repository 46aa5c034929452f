package dev.bergamotwind.replay

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.configuration.Model
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.placement.PlacementMove

/** Even placement with which every replay starts: each model once, largest first, then second copies where they fit. */
internal class InitialPlacement(configuration: OperatorConfiguration) {
    private val freeMemory = configuration.targets.values.associate { it.id to it.memory.value }.toSortedMap()

    /** Copies loaded at the start. */
    val copies: List<PlacementMove.Load> = buildList {
        val models = configuration.models.values.sortedWith(compareByDescending<Model> { it.memory }.thenBy { it.id })
        repeat(2) { round ->
            for (model in models) {
                val artifact = Artifact(model.id, model.version)
                val usedTargets = filter { it.artifact == artifact }.map { it.target }
                val target = freeMemory.keys.filter { it !in usedTargets }.maxByOrNull { freeMemory.getValue(it) }
                if (target == null || freeMemory.getValue(target) < model.memory.value) {
                    check(round > 0) { "${model.id} does not fit" }
                    continue
                }
                freeMemory[target] = freeMemory.getValue(target) - model.memory.value
                add(PlacementMove.Load(target, artifact, model.memory))
            }
        }
    }
}
