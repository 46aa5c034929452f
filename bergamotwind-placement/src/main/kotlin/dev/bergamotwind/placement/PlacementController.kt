package dev.bergamotwind.placement

import arrow.core.getOrElse
import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EngineAction
import dev.bergamotwind.api.EngineControl
import dev.bergamotwind.api.EngineOrder
import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.FencingNumber
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Target
import dev.bergamotwind.configuration.TargetKind

/**
 * Placement of one failure domain, for as long as this node owns it. [step] is one round of the owner's loop and
 * blocks on its ports, so it runs on a duty thread of its own, about once a second. When the key-value service cannot
 * be reached nothing is ordered; what is loaded stays loaded.
 */
public class PlacementController(
    private val domain: FailureDomainId,
    private val ownership: PlacementOwnership,
    keyValue: KeyValueService,
    private val engines: EngineControl,
    private val sources: PlacementSources,
    private val clock: Clock,
    private val monitor: InvariantMonitor,
    private val recorder: EventRecorder = EventRecorder.None,
    private val settings: PlacementSettings = PlacementSettings(),
) {
    private val store = MemoryLedgerStore(keyValue, monitor)
    private val allowance = LoadAllowance(clock)
    private val received = mutableMapOf<TargetId, ReceivedReport>()

    private inner class Round(
        val fencing: FencingNumber,
        val configuration: OperatorConfiguration,
        private val records: MutableMap<TargetId, LedgerRecord>,
    ) {
        val targets = configuration.targets.values.filter { it.kind == TargetKind.ENGINE }.sortedBy { it.id }
        val ledgers get() = records.mapValues { it.value.ledger }

        fun record(target: Target) = records[target.id] ?: LedgerRecord(target.id, MemoryLedger(target.memory))

        fun witness(target: TargetId?) = target?.let(records::get)

        fun write(target: Target, updated: MemoryLedger, witnesses: List<LedgerRecord>): Boolean =
            store.write(record(target), updated, ownership.compare(fencing), witnesses)
                .onRight { records[target.id] = it }
                .onLeft { note("placement.write_failed", target.id, EventField("reason", it.code)) }
                .isRight()
    }

    /** Confirms and frees what the reports show, then plans and gives the orders. */
    public fun step(): StepResult {
        val fencing = ownership.renew().getOrElse { return frozen(it) } ?: return StepResult(StepState.NOT_OWNER)
        val records = store.readAll().getOrElse { return frozen(it) }
        val round = Round(fencing, sources.configuration(), records.toMutableMap())
        round.targets.forEach(::readReport)
        checkMemory(round)
        round.targets.filter { it.failureDomain == domain }.forEach { reconcile(round, it) }
        // A pause while reports were read makes the first ones old; a plan must not rely on them.
        round.targets.forEach { dropOldReport(it.id) }
        val plannedNanos = clock.monotonicNanos()
        val moves = PlacementPlanner.plan(inputOf(round)).groupBy { it.target }
        return StepResult(StepState.DONE, moves.flatMap { carryOut(round, it.key, it.value, plannedNanos) })
    }

    private fun inputOf(round: Round): PlacementInput {
        val owners = round.targets.map { it.failureDomain }.distinct().size.coerceAtLeast(1)
        return PlacementInput(
            configuration = round.configuration,
            ledgers = round.ledgers,
            reports = received.mapValues { it.value.report },
            demand = sources.demand(),
            startableLoads = allowance.startable(settings.store.loadsPerSecond / owners),
            domain = domain,
            settings = settings,
        )
    }

    private fun readReport(target: Target) {
        sources.report(target.id).onRight { report ->
            val previous = received[target.id]?.report
            if (previous == null || report.wallMillis > previous.wallMillis) {
                received[target.id] = ReceivedReport(report, clock.monotonicNanos())
            }
        }
        dropOldReport(target.id)
    }

    private fun dropOldReport(target: TargetId) {
        received.computeIfPresent(target) { _, last ->
            last.takeIf { clock.elapsedSince(it.receivedNanos) <= settings.reportPatience }
        }
    }

    private fun checkMemory(round: Round) = round.targets.forEach { target ->
        val ledger = round.record(target).ledger
        monitor.check(Invariant.MEMORY_NOT_OVERCOMMITTED, ledger.fits) {
            "target=${target.id} ledger_used_mib=${ledger.used} capacity_mib=${ledger.capacity}"
        }
        val reported = received[target.id]?.report?.artifacts.orEmpty().sumOf { it.memory.value }
        monitor.check(Invariant.MEMORY_NOT_OVERCOMMITTED, reported <= target.memory.value) {
            "target=${target.id} reported_used_mib=$reported capacity_mib=${target.memory}"
        }
    }

    private fun reconcile(round: Round, target: Target) {
        val report = received[target.id]?.report ?: return
        val current = round.record(target).ledger.copy(capacity = target.memory)
        val repeats = current.repeats(report, target.checksFencing)
        val stamp = stamp(target.id, round.fencing) ?: return
        val updated = repeats.fold(current.reconcile(report, target.checksFencing)) { ledger, repeated ->
            ledger.repeat(repeated, stamp) ?: ledger
        }
        val decidedNanos = clock.monotonicNanos()
        if (updated == round.record(target).ledger || !round.write(target, updated, emptyList())) return
        current.entries.filter { updated.entry(it.artifact) == null }
            .forEach { note("placement.freed", target.id, EventField("artifact", it.artifact.toString())) }
        repeats.forEach { send(round, target.id, it.artifact, it.action, decidedNanos) }
    }

    private fun carryOut(round: Round, id: TargetId, moves: List<Move>, plannedNanos: Long): List<Move> {
        val target = round.configuration.targets.getValue(id)
        val stamp = stamp(id, round.fencing) ?: return emptyList()
        val witnesses = moves.filterIsInstance<Move.Unload>().filter { isPermitted(round, it) }
        var updated = round.record(target).ledger.copy(capacity = target.memory)
        // The write that takes up found artifacts may have failed; their memory must not be given away.
        val isKnown = received[id]?.report?.let { updated.unaccounted(it) == Mebibytes(0) } ?: false
        val permitted = moves.filter { if (it is Move.Load) isKnown else it in witnesses }
        val recorded = permitted.filter { move ->
            val next = when (move) {
                is Move.Load -> updated.reserve(move.artifact, move.memory, stamp)
                is Move.Unload -> updated.orderUnload(move.artifact, stamp)
            }
            updated = next ?: updated
            next != null
        }
        val relied = witnesses.mapNotNull { round.witness(it.witness) }
        if (recorded.isEmpty() || !round.write(target, updated, relied)) return emptyList()
        allowance.use(recorded.count { it is Move.Load && it.artifact.adapter == null })
        return recorded.filter { move ->
            val action = if (move is Move.Load) EngineAction.LOAD else EngineAction.UNLOAD
            send(round, id, move.artifact, action, plannedNanos)
        }
    }

    private fun isPermitted(round: Round, move: Move.Unload): Boolean {
        val model = move.artifact.model
        if (move.artifact.adapter != null || model !in round.configuration.models) return true
        val copies = round.witness(move.witness)?.ledger?.entries.orEmpty().filter { entry ->
            entry.artifact.model == model && entry.artifact.adapter == null && entry.state == LedgerState.LOADED
        }
        val hasOther = copies.any { move.witness != move.target || it.artifact != move.artifact }
        monitor.check(Invariant.MODEL_REACHABLE, hasOther) { "target=${move.target} artifact=${move.artifact}" }
        return hasOther
    }

    private fun stamp(target: TargetId, fencing: FencingNumber): OrderStamp? {
        val last = received[target] ?: return null
        val now = last.report.wallMillis + clock.elapsedSince(last.receivedNanos).inWholeMilliseconds
        val settled = now + settings.orderDeadline.inWholeMilliseconds + settings.settleMargin.inWholeMilliseconds
        return OrderStamp(fencing, last.report.wallMillis, settled)
    }

    /** Sends the order for [artifact] unless the ownership or the time in which the order may leave has ended. */
    private fun send(
        round: Round,
        id: TargetId,
        artifact: Artifact,
        action: EngineAction,
        decidedNanos: Long,
    ): Boolean {
        val entry = round.ledgers[id]?.entry(artifact) ?: return false
        val isTimely = clock.elapsedSince(decidedNanos) < settings.orderDeadline / SEND_WINDOW_DIVISOR
        if (ownership.current() != round.fencing || !isTimely) return false
        val deadline = entry.settledMillis - settings.settleMargin.inWholeMilliseconds
        val order =
            EngineOrder(id, entry.order, entry.fencing, action, artifact, entry.memory, deadlineMillis = deadline)
        note("placement.${action.name.lowercase()}", id, EventField("artifact", artifact.toString()))
        engines.send(order).onLeft { note("placement.order_failed", id, EventField("reason", it.code)) }
        return true
    }

    private fun frozen(failure: Failure): StepResult {
        recorder.record(EventKind("placement.frozen"), null, listOf(EventField("reason", failure.code)))
        return StepResult(StepState.FROZEN)
    }

    private fun note(kind: String, target: TargetId, field: EventField) =
        recorder.record(EventKind(kind), null, listOf(EventField("target", target.value), field))

    private companion object {
        // An order leaves early in its validity, so that most of it remains for the way to the engine.
        const val SEND_WINDOW_DIVISOR = 5
    }
}
