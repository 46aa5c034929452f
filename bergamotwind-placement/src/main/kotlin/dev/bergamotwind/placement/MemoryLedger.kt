package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.EngineAction
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Mebibytes
import kotlinx.serialization.Serializable

/**
 * Memory that the placement owners have committed on one target. Stored at `placement/ledger/<target>`; changed only by
 * compare-and-swap, and always before the corresponding order is sent.
 *
 * The memory of an entry is freed only by a report that
 *
 * 1. does not contain the artifact,
 * 2. was produced, by the engine's clock, after [LedgerEntry.orderExpiryMillis]: the latest deadline of all orders ever
 *    given for the entry, plus a margin, and
 * 3. if the engine checks fencing, names a received order not older than [LedgerEntry.order].
 *
 * Condition 2 alone makes the rule safe if orders are lost, duplicated or late, if the engine ignores fencing, and if
 * two nodes both believe that they own the target: when the report was produced, the artifact was not in memory, and no
 * load of it could start later without a new reservation. Engines that check fencing need it too, because a restarted
 * engine has forgotten the greatest order that it has seen and would accept an older load that is still in flight.
 *
 * Condition 3 covers orders to engines that check fencing which outlive their deadline. It applies to unload orders as
 * well: if an entry were freed while an unload is in flight, the artifact could be loaded again, count as the copy that
 * permits another one to be unloaded, and then be removed by the late order.
 *
 * The rule assumes that no order takes effect after its deadline; it tolerates a jump of the engine's clock up to the
 * margin.
 *
 * Reports that are not newer than [reportMillis], the time of the newest report that changed the ledger, are ignored,
 * so that a late report cannot confirm or free anything ordered after it.
 */
@Serializable
public data class MemoryLedger(
    val capacity: Mebibytes,
    val lastOrder: Long = 0,
    val reportMillis: Long = 0,
    val entries: List<LedgerEntry> = emptyList(),
) {
    /** Memory of all entries, in any state. */
    public val used: Mebibytes get() = Mebibytes(entries.sumOf { it.memory.value })

    /** Memory that may still be reserved; negative if the capacity was lowered below the memory in use. */
    public val free: Mebibytes get() = capacity - used

    /** Whether the memory of all entries is within the capacity. */
    public val isWithinCapacity: Boolean get() = used <= capacity

    /** Memory of artifacts in [report] without an entry; nothing may be reserved until it is 0. */
    public fun unaccountedMemory(report: EngineReport): Mebibytes =
        Mebibytes(report.artifacts.filter { entry(it.artifact) == null }.sumOf { it.memory.value })

    /** Returns the entry for [artifact], or null if there is none. */
    public fun entry(artifact: Artifact): LedgerEntry? = entries.firstOrNull { it.artifact == artifact }

    /** Reserves [memory] to load [artifact] under the next order number; null if it has an entry or does not fit. */
    public fun reserve(artifact: Artifact, memory: Mebibytes, metadata: OrderMetadata): MemoryLedger? {
        if (entry(artifact) != null || memory > free) return null
        val ordered = maxOf(metadata.orderedMillis, reportMillis)
        val order = lastOrder + 1
        val entry = LedgerEntry(
            artifact,
            memory,
            LedgerEntryState.RESERVED,
            order,
            metadata.fencing,
            ordered,
            maxOf(metadata.orderExpiryMillis, ordered),
        )
        return copy(lastOrder = order, entries = entries + entry)
    }

    /** Records an unload order for [artifact] under the next order number; null if it has no entry. */
    public fun recordUnloadOrder(artifact: Artifact, metadata: OrderMetadata): MemoryLedger? =
        recordOrder(artifact, LoadStateChart.UNLOAD_ORDERED, metadata)

    /** Records [repeated] under the next order number; null if its artifact has no entry. */
    public fun recordRepeatedOrder(repeated: RepeatedOrder, metadata: OrderMetadata): MemoryLedger? {
        val isLoad = repeated.action == EngineAction.LOAD
        val event = if (isLoad) LoadStateChart.LOAD_REPEATED else LoadStateChart.UNLOAD_ORDERED
        return recordOrder(repeated.artifact, event, metadata)
    }

    /**
     * Returns the ledger after [report]: confirms loads, frees memory by the rule above, and adds entries for reported
     * artifacts that have none. Returns an equal ledger if the report changes nothing.
     */
    public fun reconcile(report: EngineReport, checksFencing: Boolean): MemoryLedger {
        if (report.wallMillis <= reportMillis) return this
        val kept = entries.filterNot {
            canRelease(it, report, checksFencing)
        }.map { applyReport(it, report, checksFencing) }
        val found = report.artifacts.filter { entry(it.artifact) == null }.map {
            LedgerEntry(it.artifact, it.memory, LedgerEntryState.LOADING)
        }.map { applyReport(it, report, checksFencing) }
        val updated = kept + found
        return if (updated == entries) this else copy(entries = updated, reportMillis = report.wallMillis)
    }

    /**
     * Returns the orders to send because the last order for an entry has expired without taking effect. A lost unload
     * is followed by a load, not by another unload, because the copy that permitted the unload may no longer exist. The
     * load keeps an artifact that is still present, supersedes the unload at an engine that checks order numbers, and
     * leaves the decision to the next plan. At an engine that checks fencing, the repeated order also makes it possible
     * to meet condition 3.
     */
    public fun ordersToRepeat(report: EngineReport, checksFencing: Boolean): List<RepeatedOrder> {
        val expired = entries.filter { report.wallMillis > it.orderExpiryMillis && report.wallMillis > reportMillis }
        return expired.mapNotNull { entry ->
            val isPresent = report.artifacts.any { it.artifact == entry.artifact }
            val isUnseen = checksFencing && report.lastOrder < entry.order
            val isUnloading = entry.state == LedgerEntryState.UNLOADING
            when {
                isPresent && (isUnloading || (isUnseen && entry.state != LedgerEntryState.LOADED)) -> EngineAction.LOAD
                !isPresent && isUnseen -> if (isUnloading) EngineAction.UNLOAD else EngineAction.LOAD
                else -> null
            }?.let { RepeatedOrder(entry.artifact, it) }
        }
    }

    private fun recordOrder(artifact: Artifact, event: String, metadata: OrderMetadata): MemoryLedger? {
        val entry = entry(artifact) ?: return null
        val order = lastOrder + 1
        val ordered = LoadStateChart.transition(entry, event).copy(
            order = order,
            fencing = metadata.fencing,
            orderedMillis = maxOf(metadata.orderedMillis, reportMillis),
            orderExpiryMillis = maxOf(entry.orderExpiryMillis, metadata.orderExpiryMillis),
        )
        return copy(lastOrder = order, entries = entries.map { if (it.artifact == artifact) ordered else it })
    }

    private fun canRelease(entry: LedgerEntry, report: EngineReport, checksFencing: Boolean): Boolean =
        report.artifacts.none { it.artifact == entry.artifact } &&
            report.wallMillis > entry.orderExpiryMillis &&
            (!checksFencing || report.lastOrder >= entry.order) &&
            LoadStateChart.isFinalTransition(entry, LoadStateChart.RELEASED)

    private fun applyReport(entry: LedgerEntry, report: EngineReport, checksFencing: Boolean): LedgerEntry {
        val isNewer = report.wallMillis > entry.orderedMillis && (!checksFencing || report.lastOrder >= entry.order)
        val found = report.artifacts.firstOrNull { isNewer && it.artifact == entry.artifact } ?: return entry
        val updated = entry.copy(memory = maxOf(entry.memory, found.memory))
        return when {
            entry.state == LedgerEntryState.UNLOADING -> updated
            found.state == ArtifactState.LOADED -> LoadStateChart.transition(updated, LoadStateChart.CONFIRMED)
            found.state == ArtifactState.LOADING -> LoadStateChart.transition(updated, LoadStateChart.ACCEPTED)
            else -> updated
        }
    }
}
