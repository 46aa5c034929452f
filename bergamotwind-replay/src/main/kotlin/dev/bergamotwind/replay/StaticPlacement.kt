package dev.bergamotwind.replay

/** Baseline: reloads the initial artifacts of an engine after its restart and changes nothing else. */
internal class StaticPlacement(private val initial: InitialPlacement) : PlacementStrategy {
    override var moves: Int = 0
        private set

    override fun step(round: PlacementRound) {
        for ((id, report) in round.reports) {
            val engine = round.engines.getValue(id)
            val present = report.artifacts.map { it.artifact }.toSet()
            for (copy in initial.copies.filter { it.target == id && it.artifact !in present }) {
                engine.load(copy.artifact, copy.memory, 0)
                moves++
            }
        }
    }
}
