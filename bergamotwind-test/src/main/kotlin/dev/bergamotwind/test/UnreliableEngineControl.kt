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
 * Carries orders to [engines] late, twice, out of order or not at all, and reports that lag. An order arrives within
 * [maximumDelayMillis], except at an engine that checks fencing, where it may take [CHECKED_DELAY_FACTOR] times as
 * long but does not outlive a restart.
 */
public class UnreliableEngineControl(
    private val engines: Map<TargetId, UnreliableEngine>,
    private val clock: Clock,
    private val random: Random,
    private val maximumDelayMillis: Long,
    private val maximumLagMillis: Long,
) : EngineControl {
    private class InFlight(val order: EngineOrder, val dueMillis: Long, val sentMillis: Long, val mayBeStale: Boolean)

    private val inFlight = mutableListOf<InFlight>()
    private val lastRestart = mutableMapOf<ModelId, Long>()

    /** Models whose last loaded copy an order removed, although no restart had just taken another. */
    public val droppedModels: MutableList<ModelId> = mutableListOf()

    /** Called before each report is read, for example to let time pass. */
    public var beforeReport: () -> Unit = {}

    override fun send(order: EngineOrder): Either<Failure, Unit> {
        val checks = engines.getValue(order.target).checksFencing
        val copies = if (random.nextInt(100) < 15) 0 else random.nextInt(1, 3)
        repeat(copies) {
            val isStale = checks && random.nextInt(4) == 0
            val longest = maximumDelayMillis * if (isStale) CHECKED_DELAY_FACTOR else 1
            val delay = if (random.nextBoolean()) random.nextLong(200) else random.nextLong(longest)
            inFlight += InFlight(order, clock.wallMillis() + delay, clock.wallMillis(), delay > maximumDelayMillis)
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

    /** Delivers the orders that are due and lets each engine publish a report. */
    public fun deliver() {
        val due = inFlight.filter { it.dueMillis <= clock.wallMillis() }.sortedBy { it.dueMillis }
        inFlight -= due.toSet()
        due.forEach(::deliver)
        engines.values.forEach { it.publish() }
    }

    /** Restarts [target]; orders that outlived their delay on its connections are lost with it. */
    public fun restart(target: TargetId) {
        val engine = engines.getValue(target)
        engine.servedModels().forEach { lastRestart[it] = clock.wallMillis() }
        engine.restart()
        inFlight.removeAll { it.order.target == target && it.mayBeStale }
    }

    private fun deliver(item: InFlight) {
        val engine = engines.getValue(item.order.target)
        val model = item.order.artifact?.model
        val served = model != null && engine.serves(model)
        engine.receive(item.order)
        if (model == null || !served || item.order.action != EngineAction.UNLOAD) return
        val restarted = lastRestart[model]?.let { it >= item.sentMillis - RESTART_NOTICE_MILLIS } ?: false
        if (engines.values.none { it.serves(model) } && !restarted) droppedModels += model
    }

    private companion object {
        const val CHECKED_DELAY_FACTOR = 6

        // Within this time of a restart an owner may still rely on the last report before it.
        const val RESTART_NOTICE_MILLIS = 12_000L
    }
}
