package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.configuration.Adapter
import dev.bergamotwind.configuration.Model

/**
 * Decides which artifacts to load and unload on which targets. Planning is a pure function: the same input gives the
 * same moves. The owners of different failure domains that see the same ledgers therefore plan without communication,
 * and each carries out the moves on its own targets.
 *
 * The planner pursues these goals, in order of priority:
 *
 * 1. Each model has its minimum number of copies of the served version on usable targets. If memory is short, copies
 *    above the minimum of other models are evicted, those whose loss costs least first.
 * 2. Copies of other versions, of models that are no longer configured, and on leaving targets are unloaded once
 *    another copy is confirmed.
 * 3. Additional copies are placed where they lower the [CongestionCost] most. A copy in unused memory needs less gain
 *    than one that evicts another, and a copy younger than the minimum residence is not evicted, so that bursts cause
 *    no thrashing.
 * 4. Adapters in demand are loaded where their model is loaded.
 *
 * The last confirmed copy of a model is never unloaded.
 */
public object PlacementPlanner {
    /** Returns the moves to make now. Loads that must wait for memory come in a later plan. */
    public fun plan(input: PlacementInput): List<PlacementMove> {
        val fleet = FleetState(input)
        val evictionPlanner = EvictionPlanner(fleet, input)
        fleet.models.forEach { model -> ensureMinimumCopies(fleet, evictionPlanner, input, model) }
        unloadObsolete(fleet, input)
        addCopiesForDemand(fleet, evictionPlanner, input)
        loadAdapters(fleet, evictionPlanner, input)
        val ownedTargets = fleet.engines.filter(fleet::isInOwnedDomain).map { it.target.id }.toSet()
        return fleet.moves.filter { it.target in ownedTargets }
    }

    private fun ensureMinimumCopies(
        fleet: FleetState,
        evictionPlanner: EvictionPlanner,
        input: PlacementInput,
        model: Model,
    ) {
        val artifact = fleet.artifactOf(model)
        repeat(model.minimumCopies.coerceAtLeast(1) - fleet.enginesWithCopy(model).size) {
            val congestionCost = CongestionCost(fleet, input.demand, input.settings)
            val enginesWithoutCopy = fleet.usableEngines.filterNot { it.hasEntry(artifact) }
            val coveredDomains = fleet.enginesWithCopy(model).map { it.target.failureDomain }
            val loadTarget = enginesWithoutCopy.filter { it.freeMemory >= model.memory }
                .minWithOrNull(
                    compareBy(
                        { it.target.failureDomain in coveredDomains },
                        congestionCost::utilisation,
                        { -it.freeMemory.value },
                    ),
                )
            when {
                loadTarget != null -> if (fleet.remainingModelLoads > 0) fleet.planLoad(loadTarget, artifact, model)
                enginesWithoutCopy.any { it.freeMemoryAfterUnloads >= model.memory } -> Unit
                else -> evictionPlanner.evictForRequiredCopy(enginesWithoutCopy, model, congestionCost)
            }
        }
    }

    private fun unloadObsolete(fleet: FleetState, input: PlacementInput) {
        for (engine in fleet.engines) {
            val obsolete = engine.ledgerEntries.filter { it.state == LedgerEntryState.LOADED }.map { it.artifact }
                .filter { !engine.isUsable || !isServedVersion(it, input) }
            // Adapters are unloaded before the model that they depend on.
            for (artifact in obsolete.sortedBy { it.adapter == null }) {
                unloadObsoleteArtifact(fleet, engine, artifact, input)
            }
        }
    }

    private fun unloadObsoleteArtifact(
        fleet: FleetState,
        engine: EngineState,
        artifact: Artifact,
        input: PlacementInput,
    ) {
        val model = input.configuration.models[artifact.model]
        val report = input.reports[engine.target.id] ?: return
        if (artifact.adapter != null || model == null) {
            fleet.planMove(PlacementMove.Unload(report.target, artifact), engine)
            return
        }
        val remainingCopy = fleet.findRemainingCopy(model, engine)
            ?: servedVersionOnSameEngine(fleet, engine, artifact, model)
            ?: return
        val isReplaced = remainingCopy.isConfirmed(fleet.artifactOf(model))
        // A remaining copy of the old version is enough only if the new version cannot be loaded without this memory.
        val isWaitingForMemory = fleet.enginesWithCopy(model).isEmpty() &&
            fleet.usableEngines.none { it.freeMemoryAfterUnloads >= model.memory }
        if (isReplaced || isWaitingForMemory) {
            fleet.planMove(PlacementMove.Unload(report.target, artifact, remainingCopy.target.id), engine)
        }
    }

    private fun servedVersionOnSameEngine(
        fleet: FleetState,
        engine: EngineState,
        artifact: Artifact,
        model: Model,
    ): EngineState? = engine.takeIf {
        it.isUsable && artifact != fleet.artifactOf(model) && it.isConfirmed(fleet.artifactOf(model))
    }

    private fun isServedVersion(artifact: Artifact, input: PlacementInput): Boolean {
        val adapter = artifact.adapter?.let { input.configuration.adapters[it] }
        val isConfigured = artifact.adapter == null || adapter?.model == artifact.model
        return isConfigured && input.configuration.models[artifact.model]?.version == artifact.version
    }

    private fun addCopiesForDemand(fleet: FleetState, evictionPlanner: EvictionPlanner, input: PlacementInput) {
        while (fleet.remainingModelLoads > 0) {
            val congestionCost = CongestionCost(fleet, input.demand, input.settings)
            val copy = bestAdditionalCopy(fleet, congestionCost)
            if (copy != null && copy.gain >= input.settings.minimumCopyGain) {
                fleet.planLoad(copy.engine, fleet.artifactOf(copy.model), copy.model)
            } else {
                evictionPlanner.evictForAdditionalCopy(congestionCost)
                return
            }
        }
    }

    private fun bestAdditionalCopy(fleet: FleetState, congestionCost: CongestionCost): CopyCandidate? =
        fleet.models.flatMap { model ->
            val artifact = fleet.artifactOf(model)
            fleet.usableEngines.filter { it.freeMemory >= model.memory && !it.hasEntry(artifact) }
                .map { CopyCandidate(it, model, congestionCost.gain(it, model, emptyList())) }
        }.maxByOrNull { it.gain }

    private fun loadAdapters(fleet: FleetState, evictionPlanner: EvictionPlanner, input: PlacementInput) {
        val adaptersInDemand = input.configuration.adapters.values.filter { input.demand.of(it.id) > 0.0 }
            .sortedWith(compareByDescending<Adapter> { input.demand.of(it.id) }.thenBy { it.id })
        adaptersInDemand.forEach { adapter ->
            input.configuration.models[adapter.model]?.let {
                loadAdapter(fleet, evictionPlanner, adapter, fleet.artifactOf(it))
            }
        }
    }

    private fun loadAdapter(
        fleet: FleetState,
        evictionPlanner: EvictionPlanner,
        adapter: Adapter,
        baseArtifact: Artifact,
    ) {
        val artifact = baseArtifact.copy(adapter = adapter.id)
        val enginesWithModel = fleet.usableEngines.filter { it.isConfirmed(baseArtifact) && !it.hasEntry(artifact) }
        val withFreeMemory = enginesWithModel.filter { it.freeMemory >= adapter.memory }
        withFreeMemory.take(fleet.remainingAdapterLoads.coerceAtLeast(0)).forEach {
            fleet.planMove(PlacementMove.Load(it.target.id, artifact, adapter.memory), it)
        }
        if (withFreeMemory.isEmpty() && fleet.usableEngines.none { it.hasCopy(artifact) }) {
            evictionPlanner.evictForAdapter(enginesWithModel, adapter)
        }
    }
}
