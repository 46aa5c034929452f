package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.configuration.Adapter
import dev.bergamotwind.configuration.Model

/**
 * Decides which artifacts to load and unload where. A pure function: the same input gives the same moves, so the
 * owners of several failure domains that see the same ledgers plan without talking to each other, and each carries
 * out the moves on its own targets.
 *
 * In order of importance:
 *
 * 1. each model has its minimum of copies of the served version on usable targets; where memory is short, copies
 *    above other models' minimum make room, those whose loss costs least first;
 * 2. copies of other versions, of models that are no longer configured, and on leaving targets are unloaded once
 *    another copy is confirmed;
 * 3. further copies go where they lower the [Congestion] cost most. A copy in unused memory needs less gain than one
 *    that evicts another, and a copy younger than the minimum residence is not evicted, so bursts cause no thrashing;
 * 4. adapters in demand are loaded where their model is.
 *
 * The last confirmed copy of a model is never unloaded.
 */
public object PlacementPlanner {
    /** Returns the moves to make now. Loads that must wait for memory come in a later plan. */
    public fun plan(input: PlacementInput): List<Move> {
        val fleet = Fleet(input)
        val eviction = Eviction(fleet, input)
        fleet.models.forEach { model -> requireCopies(fleet, eviction, input, model) }
        unloadObsolete(fleet, input)
        relieve(fleet, eviction, input)
        loadAdapters(fleet, eviction, input)
        val own = fleet.engines.filter(fleet::isOwn).map { it.target.id }.toSet()
        return fleet.moves.filter { it.target in own }
    }

    private fun requireCopies(fleet: Fleet, eviction: Eviction, input: PlacementInput, model: Model) {
        val artifact = fleet.artifactOf(model)
        repeat(model.minimumCopies.coerceAtLeast(1) - fleet.copies(model).size) {
            val congestion = Congestion(fleet, input.demand, input.settings)
            val open = fleet.usable.filterNot { it.holds(artifact) }
            val present = fleet.copies(model).map { it.target.failureDomain }
            val roomy = open.filter { it.free >= model.memory }
                .minWithOrNull(
                    compareBy({ it.target.failureDomain in present }, congestion::utilisation, { -it.free.value }),
                )
            when {
                roomy != null -> if (fleet.loadsLeft > 0) fleet.load(roomy, artifact, model)
                open.any { it.expectedFree >= model.memory } -> Unit
                else -> eviction.makeRoom(open, model, congestion)
            }
        }
    }

    private fun unloadObsolete(fleet: Fleet, input: PlacementInput) {
        for (engine in fleet.engines) {
            val stale = engine.held.filter { it.state == LedgerState.LOADED }.map { it.artifact }
                .filter { !engine.isUsable || !isServed(it, input) }
            // Adapters go before the model they need.
            for (artifact in stale.sortedBy { it.adapter == null }) unloadStale(fleet, engine, artifact, input)
        }
    }

    private fun unloadStale(fleet: Fleet, engine: EngineView, artifact: Artifact, input: PlacementInput) {
        val model = input.configuration.models[artifact.model]
        val report = input.reports[engine.target.id] ?: return
        if (artifact.adapter != null || model == null) {
            fleet.add(Move.Unload(report.target, artifact), engine)
            return
        }
        val witness = fleet.witness(model, engine) ?: witnessBeside(fleet, engine, artifact, model) ?: return
        val replaced = witness.isConfirmed(fleet.artifactOf(model))
        // Another copy of the old version is enough only when the new one waits for this memory.
        val waits = fleet.copies(model).isEmpty() && fleet.usable.none { it.expectedFree >= model.memory }
        if (replaced || waits) fleet.add(Move.Unload(report.target, artifact, witness.target.id), engine)
    }

    private fun witnessBeside(fleet: Fleet, engine: EngineView, artifact: Artifact, model: Model): EngineView? =
        engine.takeIf {
            it.isUsable && artifact != fleet.artifactOf(model) && it.isConfirmed(fleet.artifactOf(model))
        }

    private fun isServed(artifact: Artifact, input: PlacementInput): Boolean {
        val adapter = artifact.adapter?.let { input.configuration.adapters[it] }
        val known = artifact.adapter == null || adapter?.model == artifact.model
        return known && input.configuration.models[artifact.model]?.version == artifact.version
    }

    private fun relieve(fleet: Fleet, eviction: Eviction, input: PlacementInput) {
        while (fleet.loadsLeft > 0) {
            val congestion = Congestion(fleet, input.demand, input.settings)
            val copy = bestCopy(fleet, congestion)
            if (copy != null && copy.gain >= input.settings.copyGain) {
                fleet.load(copy.engine, fleet.artifactOf(copy.model), copy.model)
            } else {
                eviction.exchange(congestion)
                return
            }
        }
    }

    private fun bestCopy(fleet: Fleet, congestion: Congestion): Relief? = fleet.models.flatMap { model ->
        val artifact = fleet.artifactOf(model)
        fleet.usable.filter { it.free >= model.memory && !it.holds(artifact) }
            .map { Relief(it, model, congestion.gain(it, model, emptyList())) }
    }.maxByOrNull { it.gain }

    private fun loadAdapters(fleet: Fleet, eviction: Eviction, input: PlacementInput) {
        val wanted = input.configuration.adapters.values.filter { input.demand.of(it.id) > 0.0 }
            .sortedWith(compareByDescending<Adapter> { input.demand.of(it.id) }.thenBy { it.id })
        wanted.forEach { adapter ->
            input.configuration.models[adapter.model]?.let {
                loadAdapter(fleet, eviction, adapter, fleet.artifactOf(it))
            }
        }
    }

    private fun loadAdapter(fleet: Fleet, eviction: Eviction, adapter: Adapter, base: Artifact) {
        val artifact = base.copy(adapter = adapter.id)
        val bases = fleet.usable.filter { it.isConfirmed(base) && !it.holds(artifact) }
        val roomy = bases.filter { it.free >= adapter.memory }
        roomy.take(fleet.adapterLoadsLeft.coerceAtLeast(0)).forEach {
            fleet.add(Move.Load(it.target.id, artifact, adapter.memory), it)
        }
        if (roomy.isEmpty() && fleet.usable.none { it.hasCopy(artifact) }) eviction.evictAdapters(bases, adapter)
    }
}
