package dev.bergamotwind.placement

import dev.bergamotwind.configuration.Model

/**
 * Congestion cost of a placement: the sum over all engines of the squared utilisation in excess of
 * [PlacementSettings.congestionThreshold], with the demand for a model divided evenly among its copies. Squaring
 * favours relieving the busiest engine; the threshold makes moves worthless while no engine is congested. A copy in a
 * failure domain without another copy of the model additionally counts by the model's share of the total demand,
 * because it keeps serving while that domain is partitioned from the others.
 */
internal class CongestionCost(
    private val fleet: FleetState,
    private val demand: DemandEstimate,
    settings: PlacementSettings,
) {
    private val threshold = settings.congestionThreshold
    private val spreadWeight = settings.spreadWeight
    private val totalDemand = fleet.models.sumOf { demand.of(it.id) }
    private val tokensPerSecondPerAccelerator = settings.tokensPerSecondPerAccelerator
    private val loadByEngine = fleet.usableEngines.associateWith { engine ->
        fleet.models.filter { engine.hasCopy(fleet.artifactOf(it)) }
            .sumOf { demandPerCopy(it, fleet.enginesWithCopy(it).size) }
    }

    /** Utilisation of [engine]; 1.0 is the load that it serves without noticeable slowdown. */
    fun utilisation(engine: EngineState): Double = utilisation(engine, loadByEngine[engine] ?: 0.0)

    /** Decrease of the cost when [added] gets a copy on [engine] and the models in [evicted] lose theirs there. */
    fun gain(engine: EngineState, added: Model?, evicted: List<Model>): Double {
        val newLoadByEngine = loadByEngine.toMutableMap()
        for (model in evicted) {
            val copies = fleet.enginesWithCopy(model)
            val increase = demandPerCopy(model, copies.size - 1) - demandPerCopy(model, copies.size)
            copies.forEach {
                val change = if (it === engine) -demandPerCopy(model, copies.size) else increase
                newLoadByEngine.merge(it, change, Double::plus)
            }
        }
        if (added != null) {
            val copies = fleet.enginesWithCopy(added)
            val decrease = demandPerCopy(added, copies.size) - demandPerCopy(added, copies.size + 1)
            copies.forEach { newLoadByEngine.merge(it, -decrease, Double::plus) }
            newLoadByEngine.merge(engine, demandPerCopy(added, copies.size + 1), Double::plus)
        }
        val loadGain = loadByEngine.entries.sumOf { (changed, load) ->
            engineCost(changed, load) - engineCost(changed, newLoadByEngine.getValue(changed))
        }
        val spreadGain = (added?.let { soleCopyDemandShare(engine, it) } ?: 0.0) -
            evicted.sumOf { soleCopyDemandShare(engine, it) }
        return loadGain + spreadWeight * spreadGain
    }

    /**
     * Share of the total demand that is for [model], if a copy on [engine] is the only one in its failure domain and so
     * serves the model alone while the domain is partitioned from the others; otherwise 0.
     */
    private fun soleCopyDemandShare(engine: EngineState, model: Model): Double {
        val others = fleet.enginesWithCopy(model).filter { it !== engine }
        val isSoleCopy = others.none { it.target.failureDomain == engine.target.failureDomain }
        return if (isSoleCopy && totalDemand > 0.0) demand.of(model.id) / totalDemand else 0.0
    }

    private fun demandPerCopy(model: Model, copies: Int): Double =
        if (copies == 0) 0.0 else demand.of(model.id) / copies

    private fun engineCost(engine: EngineState, load: Double): Double {
        val excess = (utilisation(engine, load) - threshold).coerceAtLeast(0.0)
        return excess * excess
    }

    private fun utilisation(engine: EngineState, load: Double): Double =
        load / (tokensPerSecondPerAccelerator * engine.target.accelerators.coerceAtLeast(1))
}
