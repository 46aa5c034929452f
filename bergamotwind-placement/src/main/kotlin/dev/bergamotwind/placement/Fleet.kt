package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.configuration.Model
import dev.bergamotwind.configuration.Target
import dev.bergamotwind.configuration.TargetKind

/** All engines and models while a plan is made. */
internal class Fleet(private val input: PlacementInput) {
    /** Configured models, those in most demand first. */
    val models: List<Model> = input.configuration.models.values
        .sortedWith(compareByDescending<Model> { input.demand.of(it.id) }.thenBy { it.id })

    /** Configured engines in order of their ids. */
    val engines: List<EngineView> = input.configuration.targets.values.filter { it.kind == TargetKind.ENGINE }
        .sortedBy { it.id }.map { EngineView(it, ledgerOf(it), input.reports[it.id]) }

    /** Engines that may get copies. */
    val usable: List<EngineView> = engines.filter { it.isUsable }

    /** Moves planned so far. */
    val moves: MutableList<Move> = mutableListOf()

    private val modelLoadLimit =
        input.settings.store.concurrentLoads - engines.sumOf { it.modelLoadsInFlight }

    /** Model loads that may still be started. */
    val loadsLeft: Int
        get() {
            val planned = moves.filter { it is Move.Load && it.artifact.adapter == null }
            val own = planned.count { isOwn(engine(it)) }
            return minOf(modelLoadLimit - planned.size, input.startableLoads - own)
        }

    /** Adapter loads that may still be started. */
    val adapterLoadsLeft: Int
        get() = input.settings.store.adapterLoadsInFlight - engines.sumOf { it.adapterLoadsInFlight }

    /** What a copy of the served version of [model] is called on an engine. */
    fun artifactOf(model: Model): Artifact = Artifact(model.id, model.version)

    /** Usable engines with a copy of the served version of [model], loaded or coming. */
    fun copies(model: Model): List<EngineView> =
        artifactOf(model).let { wanted -> usable.filter { it.hasCopy(wanted) } }

    /** A usable engine other than [except] with a confirmed copy of [model], preferably of the served version. */
    fun witness(model: Model, except: EngineView): EngineView? {
        val candidates = usable.filter { it !== except && it.confirmedVersions(model.id).isNotEmpty() }
        return candidates.firstOrNull { it.isConfirmed(artifactOf(model)) } ?: candidates.firstOrNull()
    }

    /** Whether the owner for whom the plan is made gives orders to [engine]. */
    fun isOwn(engine: EngineView): Boolean = input.domain == null || engine.target.failureDomain == input.domain

    /** Plans a load of [artifact] on [engine]. */
    fun load(engine: EngineView, artifact: Artifact, model: Model) =
        add(Move.Load(engine.target.id, artifact, model.memory), engine)

    /** Plans [move] on [engine]. */
    fun add(move: Move, engine: EngineView) {
        moves += move
        engine.apply(move)
    }

    private fun engine(move: Move): EngineView = engines.first { it.target.id == move.target }

    private fun ledgerOf(target: Target): MemoryLedger = input.ledgers[target.id] ?: MemoryLedger(target.memory)
}
