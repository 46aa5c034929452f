package dev.bergamotwind.test

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EngineAction
import dev.bergamotwind.api.EngineControl
import dev.bergamotwind.api.EngineOrder
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import kotlin.random.Random

/**
 * Delivers orders to [engines] delayed, duplicated, reordered or not at all, and returns reports that lag behind. An
 * order arrives within [maximumDelayMillis]; for an engine that checks fencing it may take [FENCED_DELAY_FACTOR] times
 * as long, but a restart of the engine then discards it.
 */
public class UnreliableEngineControl(
    private val engines: Map<TargetId, UnreliableEngine>,
    private val clock: Clock,
    private val random: Random,
    private val maximumDelayMillis: Long,
    private val maximumLagMillis: Long,
) : EngineControl {
    private class OrderInFlight(
        val order: EngineOrder,
        val dueMillis: Long,
        val sentMillis: Long,
        val exceedsMaximumDelay: Boolean,
    )

    private val ordersInFlight = mutableListOf<OrderInFlight>()
    private val lastRestartMillis = mutableMapOf<ModelId, Long>()

    /** Models whose last loaded copy was unloaded by an order although no recent restart had removed another copy. */
    public val droppedModels: MutableList<ModelId> = mutableListOf()

    /** Called before each report is read, for example to advance the clock. */
    public var beforeReport: () -> Unit = {}

    override fun send(order: EngineOrder): Either<Failure, Unit> {
        val checksFencing = engines.getValue(order.target).checksFencing
        val copies = if (random.nextInt(100) < 15) 0 else random.nextInt(1, 3)
        repeat(copies) {
            val mayExceedMaximum = checksFencing && random.nextInt(4) == 0
            val longestMillis = maximumDelayMillis * if (mayExceedMaximum) FENCED_DELAY_FACTOR else 1
            val delay = if (random.nextBoolean()) random.nextLong(200) else random.nextLong(longestMillis)
            ordersInFlight +=
                OrderInFlight(order, clock.wallMillis() + delay, clock.wallMillis(), delay > maximumDelayMillis)
        }
        return if (random.nextInt(10) ==
            0
        ) {
            Failure.Unavailable("no answer from ${order.target}").left()
        } else {
            Unit.right()
        }
    }

    override fun report(target: TargetId): Either<Failure, EngineReport> {
        beforeReport()
        val report = engines.getValue(target).laggingReport(random.nextLong(maximumLagMillis))
        return if (report == null ||
            random.nextInt(20) == 0
        ) {
            Failure.Unavailable("no report").left()
        } else {
            report.right()
        }
    }

    /** Delivers the orders that are due and records a report of each engine. */
    public fun deliverDueOrders() {
        val due = ordersInFlight.filter { it.dueMillis <= clock.wallMillis() }.sortedBy { it.dueMillis }
        ordersInFlight -= due.toSet()
        due.forEach(::deliverOrder)
        engines.values.forEach { it.recordReport() }
    }

    /** Restarts [target]; orders in flight to it that are delayed beyond [maximumDelayMillis] are lost. */
    public fun restart(target: TargetId) {
        val engine = engines.getValue(target)
        engine.loadedModels().forEach { lastRestartMillis[it] = clock.wallMillis() }
        engine.restart()
        ordersInFlight.removeAll { it.order.target == target && it.exceedsMaximumDelay }
    }

    private fun deliverOrder(item: OrderInFlight) {
        val engine = engines.getValue(item.order.target)
        val model = item.order.artifact?.model
        val wasLoaded = model != null && engine.hasLoaded(model)
        engine.receive(item.order)
        if (model == null || !wasLoaded || item.order.action != EngineAction.UNLOAD) return
        val restarted = lastRestartMillis[model]?.let { it >= item.sentMillis - RESTART_DETECTION_MILLIS } ?: false
        if (engines.values.none { it.hasLoaded(model) } && !restarted) droppedModels += model
    }

    private companion object {
        const val FENCED_DELAY_FACTOR = 6

        // For this long after a restart, an owner may still rely on the last report before the restart.
        const val RESTART_DETECTION_MILLIS = 12_000L
    }
}
