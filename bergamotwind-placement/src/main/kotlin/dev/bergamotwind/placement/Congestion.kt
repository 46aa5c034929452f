package dev.bergamotwind.placement

import dev.bergamotwind.configuration.Model

/**
 * Congestion cost of a placement: the sum, over engines, of the square of the utilisation above the comfortable one,
 * with the demand of a model divided evenly among its copies. The square makes relieving the busiest engine worth
 * most; the comfortable utilisation makes moves worthless while nothing is congested. A copy in a failure domain that
 * has none of the model counts besides by the model's part of all demand, because it goes on serving during a cut.
 */
internal class Congestion(private val fleet: Fleet, private val demand: DemandEstimate, settings: PlacementSettings) {
    private val comfortable = settings.comfortableUtilisation
    private val spreadWeight = settings.spreadWeight
    private val total = fleet.models.sumOf { demand.of(it.id) }
    private val perAccelerator = settings.tokensPerSecondPerAccelerator
    private val loads = fleet.usable.associateWith { engine ->
        fleet.models.filter { engine.hasCopy(fleet.artifactOf(it)) }.sumOf { share(it, fleet.copies(it).size) }
    }

    /** Utilisation of [engine]; 1.0 is what it serves without noticeable slowdown. */
    fun utilisation(engine: EngineView): Double = utilisation(engine, loads[engine] ?: 0.0)

    /** Fall of the cost when [added] gets a copy on [engine] and [evicted] loses its copies there. */
    fun gain(engine: EngineView, added: Model?, evicted: List<Model>): Double {
        val after = loads.toMutableMap()
        for (model in evicted) {
            val copies = fleet.copies(model)
            val rise = share(model, copies.size - 1) - share(model, copies.size)
            copies.forEach { after.merge(it, if (it === engine) -share(model, copies.size) else rise, Double::plus) }
        }
        if (added != null) {
            val copies = fleet.copies(added)
            val fall = share(added, copies.size) - share(added, copies.size + 1)
            copies.forEach { after.merge(it, -fall, Double::plus) }
            after.merge(engine, share(added, copies.size + 1), Double::plus)
        }
        val relief = loads.entries.sumOf { (view, load) -> cost(view, load) - cost(view, after.getValue(view)) }
        return relief +
            spreadWeight * ((added?.let { spread(engine, it) } ?: 0.0) - evicted.sumOf { spread(engine, it) })
    }

    /** Part of the demand that only a copy on [engine] serves within its failure domain while that is cut off. */
    private fun spread(engine: EngineView, model: Model): Double {
        val others = fleet.copies(model).filter { it !== engine }
        val isAlone = others.none { it.target.failureDomain == engine.target.failureDomain }
        return if (isAlone && total > 0.0) demand.of(model.id) / total else 0.0
    }

    private fun share(model: Model, copies: Int): Double = if (copies == 0) 0.0 else demand.of(model.id) / copies

    private fun cost(engine: EngineView, load: Double): Double {
        val excess = (utilisation(engine, load) - comfortable).coerceAtLeast(0.0)
        return excess * excess
    }

    private fun utilisation(engine: EngineView, load: Double): Double =
        load / (perAccelerator * engine.target.accelerators.coerceAtLeast(1))
}
