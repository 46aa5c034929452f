package dev.bergamotwind.placement

import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.configuration.Adapter
import dev.bergamotwind.configuration.Model

/** Plans unloads that free memory. Evicts only adapters, and copies above the minimum number of their model. */
internal class EvictionPlanner(private val fleet: FleetState, private val input: PlacementInput) {
    /**
     * Frees memory for a required copy of [model] on one of [engines]. If no copy there can be evicted, plans a second
     * copy of another model elsewhere, so that its copy here can be evicted later.
     */
    fun evictForRequiredCopy(engines: List<EngineState>, model: Model, congestionCost: CongestionCost) {
        val best = engines.mapNotNull { evaluateCandidate(it, model, congestionCost, isRequired = true) }
            .maxByOrNull { it.gain }
        if (best != null) planUnloads(best) else planRelocation(engines, model)
    }

    /** Frees memory for the additional copy with the greatest gain, if that reaches the minimum gain of an eviction. */
    fun evictForAdditionalCopy(congestionCost: CongestionCost) {
        val isLoading = fleet.models.associateWith { model ->
            fleet.enginesWithCopy(model).any { !it.isConfirmed(fleet.artifactOf(model)) }
        }
        val best = fleet.models.filterNot(isLoading::getValue).flatMap { model ->
            fleet.usableEngines.filter {
                !it.hasEntry(fleet.artifactOf(model)) &&
                    it.freeMemoryAfterUnloads < model.memory &&
                    !hasPendingModelMove(it)
            }
                .mapNotNull { evaluateCandidate(it, model, congestionCost, isRequired = false) }
        }.maxByOrNull { it.gain }
        val pendingEngines = fleet.engines.count(::hasPendingModelMove)
        if (best != null &&
            best.gain >= input.settings.minimumEvictionGain &&
            pendingEngines < input.settings.maximumPendingEvictions
        ) {
            planUnloads(best)
        }
    }

    /** Evicts adapters on one of [engines], those in least demand first, until [adapter] fits. */
    fun evictForAdapter(engines: List<EngineState>, adapter: Adapter) {
        if (engines.any { it.freeMemoryAfterUnloads >= adapter.memory }) return
        val engine = engines.maxByOrNull { it.freeMemory } ?: return
        val idle = loadedAdapters(engine).filter { entry -> adapterDemand(entry) < input.demand.of(adapter.id) }
        val selected = selectUntilFreed(idle, adapter.memory - engine.freeMemoryAfterUnloads) ?: return
        selected.forEach { fleet.planMove(PlacementMove.Unload(engine.target.id, it.artifact), engine) }
    }

    private fun hasNoPendingModelMove(): Boolean = fleet.engines.none(::hasPendingModelMove)

    // While a move is pending, no other eviction may be planned on the engine: the memory it frees is meant for a load
    // that only a later plan contains.
    private fun hasPendingModelMove(engine: EngineState): Boolean =
        engine.ledgerEntries.any { it.artifact.adapter == null && it.state != LedgerEntryState.LOADED }

    private fun evaluateCandidate(
        engine: EngineState,
        model: Model,
        congestionCost: CongestionCost,
        isRequired: Boolean,
    ): CopyCandidate? {
        val candidates = loadedAdapters(engine) + evictableCopies(engine, congestionCost, isRequired)
        val selected = selectUntilFreed(candidates, model.memory - engine.freeMemoryAfterUnloads) ?: return null
        val evicted = selected.filter { it.artifact.adapter == null }
            .mapNotNull { input.configuration.models[it.artifact.model] }
        return CopyCandidate(engine, model, congestionCost.gain(engine, model, evicted), selected)
    }

    private fun planUnloads(candidate: CopyCandidate) {
        for (entry in candidate.evicted) {
            val model = input.configuration.models[entry.artifact.model]
            val remainingCopy =
                model?.takeIf { entry.artifact.adapter == null }?.let { fleet.findRemainingCopy(it, candidate.engine) }
            if (entry.artifact.adapter == null && remainingCopy == null) return
            val unload = PlacementMove.Unload(candidate.engine.target.id, entry.artifact, remainingCopy?.target?.id)
            fleet.planMove(unload, candidate.engine)
        }
    }

    private fun loadedAdapters(engine: EngineState): List<LedgerEntry> =
        engine.ledgerEntries.filter { it.artifact.adapter != null && it.state == LedgerEntryState.LOADED }
            .sortedBy(::adapterDemand)

    private fun evictableCopies(
        engine: EngineState,
        congestionCost: CongestionCost,
        isRequired: Boolean,
    ): List<LedgerEntry> = engine.ledgerEntries.filter { entry ->
        val model = input.configuration.models[entry.artifact.model]
        model != null && engine.isConfirmed(entry.artifact) && entry.artifact == fleet.artifactOf(model) &&
            (isRequired || engine.isResidentFor(entry.artifact, input.settings.minimumResidence)) &&
            hasEnoughOtherCopies(model, engine)
    }.sortedWith(
        compareByDescending<LedgerEntry> { entry ->
            congestionCost.gain(engine, null, listOfNotNull(input.configuration.models[entry.artifact.model]))
        }.thenBy { input.demand.of(it.artifact.model) },
    )

    private fun hasEnoughOtherCopies(model: Model, engine: EngineState): Boolean {
        val others = fleet.usableEngines.count { it !== engine && it.isConfirmed(fleet.artifactOf(model)) }
        return others >= model.minimumCopies.coerceAtLeast(1)
    }

    private fun planRelocation(engines: List<EngineState>, model: Model) {
        if (fleet.remainingModelLoads <= 0 || !hasNoPendingModelMove()) return
        for (engine in engines) {
            val relocatable = input.configuration.models.values.sortedBy { it.memory }
                .filter { engine.isConfirmed(fleet.artifactOf(it)) && engine.freeMemory + it.memory >= model.memory }
            for (relocated in relocatable) {
                val artifact = fleet.artifactOf(relocated)
                val destinations = fleet.usableEngines.filter {
                    it !== engine && it.freeMemory >= relocated.memory && !it.hasEntry(artifact)
                }
                val destination = destinations.minByOrNull { it.freeMemory } ?: continue
                fleet.planLoad(destination, artifact, relocated)
                return
            }
        }
    }

    private fun selectUntilFreed(candidates: List<LedgerEntry>, needed: Mebibytes): List<LedgerEntry>? {
        var missing = needed
        val selected = candidates.takeWhile { entry ->
            (missing > Mebibytes(0)).also { missing -= entry.memory }
        }
        return selected.takeIf { it.sumOf { entry -> entry.memory.value } >= needed.value }
    }

    private fun adapterDemand(entry: LedgerEntry): Double = entry.artifact.adapter?.let(input.demand::of) ?: 0.0
}
