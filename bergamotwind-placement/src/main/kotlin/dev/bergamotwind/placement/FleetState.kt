package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.configuration.Model
import dev.bergamotwind.configuration.Target
import dev.bergamotwind.configuration.TargetKind

/** State of all engines and models during planning, with the moves planned so far. */
internal class FleetState(private val input: PlacementInput) {
    /** Configured models in descending order of demand. */
    val models: List<Model> = input.configuration.models.values
        .sortedWith(compareByDescending<Model> { input.demand.of(it.id) }.thenBy { it.id })

    /** Configured engines in order of their ids. */
    val engines: List<EngineState> = input.configuration.targets.values.filter { it.kind == TargetKind.ENGINE }
        .sortedBy { it.id }.map { EngineState(it, ledgerOf(it), input.reports[it.id]) }

    /** Engines that may get copies. */
    val usableEngines: List<EngineState> = engines.filter { it.isUsable }

    /** Moves planned so far. */
    val moves: MutableList<PlacementMove> = mutableListOf()

    private val modelLoadSlots =
        input.settings.weightStore.concurrentLoads - engines.sumOf { it.modelLoadsInFlight }

    /** Number of model loads that this plan may still add. */
    val remainingModelLoads: Int
        get() {
            val planned = moves.filter { it is PlacementMove.Load && it.artifact.adapter == null }
            val plannedInOwnedDomain = planned.count { isInOwnedDomain(engineOf(it)) }
            return minOf(modelLoadSlots - planned.size, input.startableLoads - plannedInOwnedDomain)
        }

    /** Number of adapter loads that this plan may still add. */
    val remainingAdapterLoads: Int
        get() = input.settings.weightStore.adapterLoadsInFlight - engines.sumOf { it.adapterLoadsInFlight }

    /** Returns the artifact of the served version of [model]. */
    fun artifactOf(model: Model): Artifact = Artifact(model.id, model.version)

    /** Returns the usable engines on which the served version of [model] is loaded or being loaded. */
    fun enginesWithCopy(model: Model): List<EngineState> =
        artifactOf(model).let { artifact -> usableEngines.filter { it.hasCopy(artifact) } }

    /** Returns a usable engine other than [except] with a confirmed copy of [model], if possible the served version. */
    fun findRemainingCopy(model: Model, except: EngineState): EngineState? {
        val candidates = usableEngines.filter { it !== except && it.confirmedVersions(model.id).isNotEmpty() }
        return candidates.firstOrNull { it.isConfirmed(artifactOf(model)) } ?: candidates.firstOrNull()
    }

    /** Whether the plan is for the owner of the failure domain of [engine]. */
    fun isInOwnedDomain(engine: EngineState): Boolean =
        input.ownedDomain == null || engine.target.failureDomain == input.ownedDomain

    /** Plans a load of [artifact] on [engine]. */
    fun planLoad(engine: EngineState, artifact: Artifact, model: Model) =
        planMove(PlacementMove.Load(engine.target.id, artifact, model.memory), engine)

    /** Adds [move] to the plan and applies it to [engine]. */
    fun planMove(move: PlacementMove, engine: EngineState) {
        moves += move
        engine.applyMove(move)
    }

    private fun engineOf(move: PlacementMove): EngineState = engines.first { it.target.id == move.target }

    private fun ledgerOf(target: Target): MemoryLedger = input.ledgers[target.id] ?: MemoryLedger(target.memory)
}
