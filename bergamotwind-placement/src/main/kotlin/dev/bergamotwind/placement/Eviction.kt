package dev.bergamotwind.placement

import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.configuration.Adapter
import dev.bergamotwind.configuration.Model

/** Plans unloads that make room. Only copies that a model can spare and adapters are ever evicted. */
internal class Eviction(private val fleet: Fleet, private val input: PlacementInput) {
    /** Makes room for a required copy of [model] on one of [engines], or prepares it by moving another model. */
    fun makeRoom(engines: List<EngineView>, model: Model, congestion: Congestion) {
        val best = engines.mapNotNull { relief(it, model, congestion, isRequired = true) }.maxByOrNull { it.gain }
        if (best != null) carryOut(best) else clearByMoving(engines, model)
    }

    /** Evicts for the further copy that lowers the congestion cost most, if it is worth the move. */
    fun exchange(congestion: Congestion) {
        val isLoading = fleet.models.associateWith { model ->
            fleet.copies(model).any { !it.isConfirmed(fleet.artifactOf(model)) }
        }
        val best = fleet.models.filterNot(isLoading::getValue).flatMap { model ->
            fleet.usable.filter {
                !it.holds(fleet.artifactOf(model)) && it.expectedFree < model.memory && !isPending(it)
            }
                .mapNotNull { relief(it, model, congestion, isRequired = false) }
        }.maxByOrNull { it.gain }
        val pending = fleet.engines.count(::isPending)
        if (best != null && best.gain >= input.settings.evictionGain && pending < input.settings.pendingExchanges) {
            carryOut(best)
        }
    }

    /** Evicts the adapters in least demand on one of [engines] until [adapter] fits. */
    fun evictAdapters(engines: List<EngineView>, adapter: Adapter) {
        if (engines.any { it.expectedFree >= adapter.memory }) return
        val engine = engines.maxByOrNull { it.free } ?: return
        val idle = adaptersOf(engine).filter { entry -> demandOfAdapter(entry) < input.demand.of(adapter.id) }
        val chosen = chooseUntil(idle, adapter.memory - engine.expectedFree) ?: return
        chosen.forEach { fleet.add(Move.Unload(engine.target.id, it.artifact), engine) }
    }

    private fun nothingPending(): Boolean = fleet.engines.none(::isPending)

    // Memory that was freed for a load in a later plan must not be judged by another one before.
    private fun isPending(engine: EngineView): Boolean =
        engine.held.any { it.artifact.adapter == null && it.state != LedgerState.LOADED }

    private fun relief(engine: EngineView, model: Model, congestion: Congestion, isRequired: Boolean): Relief? {
        val candidates = adaptersOf(engine) + spareCopies(engine, congestion, isRequired)
        val chosen = chooseUntil(candidates, model.memory - engine.expectedFree) ?: return null
        val evicted = chosen.filter { it.artifact.adapter == null }
            .mapNotNull { input.configuration.models[it.artifact.model] }
        return Relief(engine, model, congestion.gain(engine, model, evicted), chosen)
    }

    private fun carryOut(relief: Relief) {
        for (entry in relief.evicted) {
            val model = input.configuration.models[entry.artifact.model]
            val witness = model?.takeIf { entry.artifact.adapter == null }?.let { fleet.witness(it, relief.engine) }
            if (entry.artifact.adapter == null && witness == null) return
            fleet.add(Move.Unload(relief.engine.target.id, entry.artifact, witness?.target?.id), relief.engine)
        }
    }

    private fun adaptersOf(engine: EngineView): List<LedgerEntry> =
        engine.held.filter { it.artifact.adapter != null && it.state == LedgerState.LOADED }.sortedBy(::demandOfAdapter)

    private fun spareCopies(engine: EngineView, congestion: Congestion, isRequired: Boolean): List<LedgerEntry> =
        engine.held.filter { entry ->
            val model = input.configuration.models[entry.artifact.model]
            model != null && engine.isConfirmed(entry.artifact) && entry.artifact == fleet.artifactOf(model) &&
                (isRequired || engine.isResidentFor(entry.artifact, input.settings.minimumResidence)) &&
                isSpare(model, engine)
        }.sortedWith(
            compareByDescending<LedgerEntry> { entry ->
                congestion.gain(engine, null, listOfNotNull(input.configuration.models[entry.artifact.model]))
            }.thenBy { input.demand.of(it.artifact.model) },
        )

    private fun isSpare(model: Model, engine: EngineView): Boolean {
        val others = fleet.usable.count { it !== engine && it.isConfirmed(fleet.artifactOf(model)) }
        return others >= model.minimumCopies.coerceAtLeast(1)
    }

    private fun clearByMoving(engines: List<EngineView>, model: Model) {
        if (fleet.loadsLeft <= 0 || !nothingPending()) return
        for (engine in engines) {
            val moved = input.configuration.models.values.sortedBy { it.memory }
                .filter { engine.isConfirmed(fleet.artifactOf(it)) && engine.free + it.memory >= model.memory }
            for (candidate in moved) {
                val artifact = fleet.artifactOf(candidate)
                val room = fleet.usable.filter { it !== engine && it.free >= candidate.memory && !it.holds(artifact) }
                val destination = room.minByOrNull { it.free } ?: continue
                fleet.load(destination, artifact, candidate)
                return
            }
        }
    }

    private fun chooseUntil(candidates: List<LedgerEntry>, needed: Mebibytes): List<LedgerEntry>? {
        var missing = needed
        val chosen = candidates.takeWhile { entry ->
            (missing > Mebibytes(0)).also { missing -= entry.memory }
        }
        return chosen.takeIf { it.sumOf { entry -> entry.memory.value } >= needed.value }
    }

    private fun demandOfAdapter(entry: LedgerEntry): Double = entry.artifact.adapter?.let(input.demand::of) ?: 0.0
}
