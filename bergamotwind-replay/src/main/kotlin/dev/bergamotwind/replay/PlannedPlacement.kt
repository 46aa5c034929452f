package dev.bergamotwind.replay

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.FencingNumber
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.placement.MemoryLedger
import dev.bergamotwind.placement.OrderMetadata
import dev.bergamotwind.placement.PlacementInput
import dev.bergamotwind.placement.PlacementMove
import dev.bergamotwind.placement.PlacementPlanner
import dev.bergamotwind.placement.PlacementSettings

/** Uses the production planner and ledgers, without ownership and compare-and-swap, because there is one owner. */
internal class PlannedPlacement(
    private val configuration: OperatorConfiguration,
    private val settings: PlacementSettings,
    private val clock: Clock,
    private val monitor: InvariantMonitor,
) : PlacementStrategy {
    private val ledgers = mutableMapOf<TargetId, MemoryLedger>()
    private var loadBudget = 0.0

    override var moves: Int = 0
        private set

    override fun step(round: PlacementRound) {
        for ((id, report) in round.reports) {
            val target = configuration.targets.getValue(id)
            val ledger = (ledgers[id] ?: MemoryLedger(target.memory)).reconcile(report, target.checksFencing)
            val used = round.engines.getValue(id).usedMemory
            ledgers[id] = ledger
            monitor.check(Invariant.MEMORY_NOT_OVERCOMMITTED, ledger.isWithinCapacity && used <= target.memory) {
                "target=$id ledger_used_mib=${ledger.used} used_mib=$used"
            }
        }
        loadBudget =
            minOf(loadBudget + settings.weightStore.loadsPerSecond, maxOf(1.0, settings.weightStore.loadsPerSecond))
        val reports = round.reports.filterKeys { configuration.targets[it]?.failureDomain !in round.unreachable }
        val input = PlacementInput(
            configuration,
            ledgers,
            reports,
            round.smoothed,
            loadBudget.toInt(),
            settings = settings,
        )
        PlacementPlanner.plan(input).forEach { move -> executeMove(move, round.engines.getValue(move.target)) }
    }

    private fun executeMove(move: PlacementMove, engine: VirtualEngine) {
        val ledger = ledgers.getValue(move.target)
        val validity = settings.orderDeadline + settings.orderExpiryMargin
        val stamp =
            OrderMetadata(FencingNumber(1), clock.wallMillis(), clock.wallMillis() + validity.inWholeMilliseconds)
        when (move) {
            is PlacementMove.Load -> {
                val reserved = ledger.reserve(move.artifact, move.memory, stamp) ?: return
                ledgers[move.target] = reserved
                engine.load(move.artifact, move.memory, reserved.lastOrder)
                if (move.artifact.adapter == null) {
                    loadBudget -= 1
                    moves++
                }
            }

            is PlacementMove.Unload -> {
                val ordered = ledger.recordUnloadOrder(move.artifact, stamp) ?: return
                ledgers[move.target] = ordered
                engine.unload(move.artifact, ordered.lastOrder)
            }
        }
    }
}
