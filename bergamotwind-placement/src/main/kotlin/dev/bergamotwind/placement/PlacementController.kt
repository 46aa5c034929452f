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
 * Controls placement in one failure domain while this node owns it. [runCycle] is one iteration of the owner's loop; it
 * blocks on I/O and therefore runs on a dedicated thread, about once a second. While the key-value service cannot be
 * reached, no orders are given and loaded artifacts stay loaded.
 */
public class PlacementController(
    private val failureDomain: FailureDomainId,
    private val ownership: PlacementOwnership,
    keyValue: KeyValueService,
    private val engineControl: EngineControl,
    private val dataSource: PlacementDataSource,
    private val clock: Clock,
    private val monitor: InvariantMonitor,
    private val recorder: EventRecorder = EventRecorder.None,
    private val settings: PlacementSettings = PlacementSettings(),
) {
    private val store = MemoryLedgerStore(keyValue, monitor)
    private val loadRateLimiter = LoadRateLimiter(clock)
    private val receivedReports = mutableMapOf<TargetId, ReceivedReport>()

    private inner class PlacementCycle(
        val fencing: FencingNumber,
        val configuration: OperatorConfiguration,
        private val records: MutableMap<TargetId, LedgerRecord>,
    ) {
        val targets = configuration.targets.values.filter { it.kind == TargetKind.ENGINE }.sortedBy { it.id }
        val ledgers get() = records.mapValues { it.value.ledger }

        fun recordOf(target: Target) = records[target.id] ?: LedgerRecord(target.id, MemoryLedger(target.memory))

        fun storedRecord(target: TargetId?) = target?.let(records::get)

        fun writeLedger(target: Target, updated: MemoryLedger, unchangedRecords: List<LedgerRecord>): Boolean =
            store.write(recordOf(target), updated, ownership.ownershipCondition(fencing), unchangedRecords)
                .onRight { records[target.id] = it }
                .onLeft { recordEvent("placement.write_failed", target.id, EventField("reason", it.code)) }
                .isRight()
    }

    /** Reconciles the ledgers with the engines' reports, then makes a plan and sends its orders. */
    public fun runCycle(): PlacementCycleResult {
        val fencing = ownership.renewOrAcquire().getOrElse { return recordFrozenCycle(it) }
            ?: return PlacementCycleResult(PlacementCycleOutcome.NOT_OWNER)
        val records = store.readAll().getOrElse { return recordFrozenCycle(it) }
        val cycle = PlacementCycle(fencing, dataSource.configuration(), records.toMutableMap())
        cycle.targets.forEach(::readReport)
        checkMemoryInvariant(cycle)
        cycle.targets.filter { it.failureDomain == failureDomain }.forEach { reconcileLedger(cycle, it) }
        // The first reports may have become stale while later ones were read; a plan must not rely on stale reports.
        cycle.targets.forEach { discardStaleReport(it.id) }
        val plannedNanos = clock.monotonicNanos()
        val moves = PlacementPlanner.plan(planningInput(cycle)).groupBy { it.target }
        val sent = moves.flatMap { recordAndSendMoves(cycle, it.key, it.value, plannedNanos) }
        return PlacementCycleResult(PlacementCycleOutcome.DONE, sent)
    }

    private fun planningInput(cycle: PlacementCycle): PlacementInput {
        val owners = cycle.targets.map { it.failureDomain }.distinct().size.coerceAtLeast(1)
        return PlacementInput(
            configuration = cycle.configuration,
            ledgers = cycle.ledgers,
            reports = receivedReports.mapValues { it.value.report },
            demand = dataSource.demand(),
            startableLoads = loadRateLimiter.availableLoads(settings.weightStore.loadsPerSecond / owners),
            ownedDomain = failureDomain,
            settings = settings,
        )
    }

    private fun readReport(target: Target) {
        dataSource.report(target.id).onRight { report ->
            val previous = receivedReports[target.id]?.report
            if (previous == null || report.wallMillis > previous.wallMillis) {
                receivedReports[target.id] = ReceivedReport(report, clock.monotonicNanos())
            }
        }
        discardStaleReport(target.id)
    }

    private fun discardStaleReport(target: TargetId) {
        receivedReports.computeIfPresent(target) { _, last ->
            last.takeIf { clock.elapsedSince(it.receivedNanos) <= settings.maximumReportAge }
        }
    }

    private fun checkMemoryInvariant(cycle: PlacementCycle) = cycle.targets.forEach { target ->
        val ledger = cycle.recordOf(target).ledger
        monitor.check(Invariant.MEMORY_NOT_OVERCOMMITTED, ledger.isWithinCapacity) {
            "target=${target.id} ledger_used_mib=${ledger.used} capacity_mib=${ledger.capacity}"
        }
        val reported = receivedReports[target.id]?.report?.artifacts.orEmpty().sumOf { it.memory.value }
        monitor.check(Invariant.MEMORY_NOT_OVERCOMMITTED, reported <= target.memory.value) {
            "target=${target.id} reported_used_mib=$reported capacity_mib=${target.memory}"
        }
    }

    private fun reconcileLedger(cycle: PlacementCycle, target: Target) {
        val report = receivedReports[target.id]?.report ?: return
        val current = cycle.recordOf(target).ledger.copy(capacity = target.memory)
        val repeatedOrders = current.ordersToRepeat(report, target.checksFencing)
        val metadata = createOrderMetadata(target.id, cycle.fencing) ?: return
        val updated = repeatedOrders.fold(current.reconcile(report, target.checksFencing)) { ledger, repeated ->
            ledger.recordRepeatedOrder(repeated, metadata) ?: ledger
        }
        val decidedNanos = clock.monotonicNanos()
        if (updated == cycle.recordOf(target).ledger || !cycle.writeLedger(target, updated, emptyList())) return
        current.entries.filter { updated.entry(it.artifact) == null }
            .forEach { recordEvent("placement.freed", target.id, EventField("artifact", it.artifact.toString())) }
        repeatedOrders.forEach { sendOrder(cycle, target.id, it.artifact, it.action, decidedNanos) }
    }

    private fun recordAndSendMoves(
        cycle: PlacementCycle,
        id: TargetId,
        moves: List<PlacementMove>,
        plannedNanos: Long,
    ): List<PlacementMove> {
        val target = cycle.configuration.targets.getValue(id)
        val metadata = createOrderMetadata(id, cycle.fencing) ?: return emptyList()
        val permittedUnloads = moves.filterIsInstance<PlacementMove.Unload>().filter { isUnloadPermitted(cycle, it) }
        var updated = cycle.recordOf(target).ledger.copy(capacity = target.memory)
        // If the write that adds entries for reported artifacts failed, their memory must not be reserved again.
        val isFullyAccounted =
            receivedReports[id]?.report?.let { updated.unaccountedMemory(it) == Mebibytes(0) } ?: false
        val permitted = moves.filter { if (it is PlacementMove.Load) isFullyAccounted else it in permittedUnloads }
        val recorded = permitted.filter { move ->
            val next = when (move) {
                is PlacementMove.Load -> updated.reserve(move.artifact, move.memory, metadata)
                is PlacementMove.Unload -> updated.recordUnloadOrder(move.artifact, metadata)
            }
            updated = next ?: updated
            next != null
        }
        val remainingCopyRecords = permittedUnloads.mapNotNull { cycle.storedRecord(it.remainingCopyTarget) }
        if (recorded.isEmpty() || !cycle.writeLedger(target, updated, remainingCopyRecords)) return emptyList()
        loadRateLimiter.consume(recorded.count { it is PlacementMove.Load && it.artifact.adapter == null })
        return recorded.filter { move ->
            val action = if (move is PlacementMove.Load) EngineAction.LOAD else EngineAction.UNLOAD
            sendOrder(cycle, id, move.artifact, action, plannedNanos)
        }
    }

    private fun isUnloadPermitted(cycle: PlacementCycle, move: PlacementMove.Unload): Boolean {
        val model = move.artifact.model
        if (move.artifact.adapter != null || model !in cycle.configuration.models) return true
        val copies = cycle.storedRecord(move.remainingCopyTarget)?.ledger?.entries.orEmpty().filter { entry ->
            entry.artifact.model == model && entry.artifact.adapter == null && entry.state == LedgerEntryState.LOADED
        }
        val hasOther = copies.any { move.remainingCopyTarget != move.target || it.artifact != move.artifact }
        monitor.check(Invariant.MODEL_REACHABLE, hasOther) { "target=${move.target} artifact=${move.artifact}" }
        return hasOther
    }

    private fun createOrderMetadata(target: TargetId, fencing: FencingNumber): OrderMetadata? {
        val last = receivedReports[target] ?: return null
        val now = last.report.wallMillis + clock.elapsedSince(last.receivedNanos).inWholeMilliseconds
        val expiry = now + settings.orderDeadline.inWholeMilliseconds + settings.orderExpiryMargin.inWholeMilliseconds
        return OrderMetadata(fencing, last.report.wallMillis, expiry)
    }

    /** Sends the recorded order for [artifact] unless this node lost ownership or the send window has passed. */
    private fun sendOrder(
        cycle: PlacementCycle,
        id: TargetId,
        artifact: Artifact,
        action: EngineAction,
        decidedNanos: Long,
    ): Boolean {
        val entry = cycle.ledgers[id]?.entry(artifact) ?: return false
        val isTimely = clock.elapsedSince(decidedNanos) < settings.orderDeadline / SEND_WINDOW_DIVISOR
        if (ownership.currentFencing() != cycle.fencing || !isTimely) return false
        val deadline = entry.orderExpiryMillis - settings.orderExpiryMargin.inWholeMilliseconds
        val order =
            EngineOrder(id, entry.order, entry.fencing, action, artifact, entry.memory, deadlineMillis = deadline)
        recordEvent("placement.${action.name.lowercase()}", id, EventField("artifact", artifact.toString()))
        engineControl.send(order).onLeft { recordEvent("placement.order_failed", id, EventField("reason", it.code)) }
        return true
    }

    private fun recordFrozenCycle(failure: Failure): PlacementCycleResult {
        recorder.record(EventKind("placement.frozen"), null, listOf(EventField("reason", failure.code)))
        return PlacementCycleResult(PlacementCycleOutcome.FROZEN)
    }

    private fun recordEvent(kind: String, target: TargetId, field: EventField) =
        recorder.record(EventKind(kind), null, listOf(EventField("target", target.value), field))

    private companion object {
        // An order is sent early in its validity period, so that most of it remains for delivery to the engine.
        const val SEND_WINDOW_DIVISOR = 5
    }
}
