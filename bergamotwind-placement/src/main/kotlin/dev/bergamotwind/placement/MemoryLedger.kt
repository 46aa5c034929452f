package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.EngineAction
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Mebibytes
import kotlinx.serialization.Serializable

/**
 * Memory of one target as the placement owners have committed it. Stored at `placement/ledger/<target>`; changed only
 * by compare-and-swap, and before an order leaves.
 *
 * Memory of an entry is freed only by a report that
 *
 * 1. does not contain the artifact,
 * 2. was produced later, on the engine's clock, than [LedgerEntry.settledMillis]: the greatest deadline of all orders
 *    ever given about the entry, plus a margin, and
 * 3. at an engine that checks fencing, names a received order not older than [LedgerEntry.order].
 *
 * Condition 2 alone makes the rule safe where orders are lost, duplicated or late, where the engine ignores fencing,
 * and where two owners believe they own the target: when the report was produced no load of the artifact was in
 * memory, and none could begin later without a new reservation. It is needed at checking engines too, because an
 * engine that restarts forgets the greatest order it has seen and would accept an older load that is still in flight.
 * Condition 3 covers orders at checking engines that outlive their deadline. Unload orders count as well: an entry
 * that were freed while one is in flight could be loaded again, be counted as the copy that allows another to go, and
 * then vanish.
 *
 * The rule relies on no order taking effect after its deadline; a jump of the engine's clock up to the margin is
 * tolerated.
 *
 * Reports that are not newer than [reportMillis], the newest report that changed the ledger, are ignored, so a lagging
 * report cannot confirm or free what was ordered after it.
 */
@Serializable
public data class MemoryLedger(
    val capacity: Mebibytes,
    val lastOrder: Long = 0,
    val reportMillis: Long = 0,
    val entries: List<LedgerEntry> = emptyList(),
) {
    /** Memory of all entries, in whatever state. */
    public val used: Mebibytes get() = Mebibytes(entries.sumOf { it.memory.value })

    /** Memory that may still be reserved; negative when the capacity was lowered below what is in use. */
    public val free: Mebibytes get() = capacity - used

    /** Whether the entries fit into the capacity. */
    public val fits: Boolean get() = used <= capacity

    /** Memory of artifacts in [report] that have no entry yet; nothing may be reserved while there is any. */
    public fun unaccounted(report: EngineReport): Mebibytes =
        Mebibytes(report.artifacts.filter { entry(it.artifact) == null }.sumOf { it.memory.value })

    /** Returns the entry of [artifact], if there is one. */
    public fun entry(artifact: Artifact): LedgerEntry? = entries.firstOrNull { it.artifact == artifact }

    /** Reserves [memory] for a load of [artifact] under the next order number; null if it is present or too large. */
    public fun reserve(artifact: Artifact, memory: Mebibytes, stamp: OrderStamp): MemoryLedger? {
        if (entry(artifact) != null || memory > free) return null
        val ordered = maxOf(stamp.orderedMillis, reportMillis)
        val order = lastOrder + 1
        val entry = LedgerEntry(
            artifact,
            memory,
            LedgerState.RESERVED,
            order,
            stamp.fencing,
            ordered,
            maxOf(stamp.settledMillis, ordered),
        )
        return copy(lastOrder = order, entries = entries + entry)
    }

    /** Records an unload order for [artifact] under the next order number; null if there is no such entry. */
    public fun orderUnload(artifact: Artifact, stamp: OrderStamp): MemoryLedger? =
        order(artifact, LoadChart.UNLOAD_ORDERED, stamp)

    /** Records [repeated] under the next order number; null if there is no such entry. */
    public fun repeat(repeated: RepeatedOrder, stamp: OrderStamp): MemoryLedger? {
        val isLoad = repeated.action == EngineAction.LOAD
        return order(repeated.artifact, if (isLoad) LoadChart.LOAD_REPEATED else LoadChart.UNLOAD_ORDERED, stamp)
    }

    /**
     * Returns the ledger after [report]: confirms loads, frees memory under the rule above, and takes up artifacts
     * that the engine holds without an entry. Returns an equal ledger if the report changes nothing.
     */
    public fun reconcile(report: EngineReport, checksFencing: Boolean): MemoryLedger {
        if (report.wallMillis <= reportMillis) return this
        val kept = entries.filterNot {
            isReleased(it, report, checksFencing)
        }.map { advance(it, report, checksFencing) }
        val found = report.artifacts.filter { entry(it.artifact) == null }.map {
            LedgerEntry(it.artifact, it.memory, LedgerState.LOADING)
        }.map { advance(it, report, checksFencing) }
        val updated = kept + found
        return if (updated == entries) this else copy(entries = updated, reportMillis = report.wallMillis)
    }

    /**
     * Orders that have to be given again because the last one about an entry can no longer arrive and did not have its
     * effect. A lost unload is followed by a load, not by another unload: the copy that permitted it may have gone
     * since. The load keeps what is there, outdates the unload at an engine that checks order numbers, and leaves the
     * decision to the next plan. At a checking engine the repeated order also lets condition 3 come true.
     */
    public fun repeats(report: EngineReport, checksFencing: Boolean): List<RepeatedOrder> {
        val settled = entries.filter { report.wallMillis > it.settledMillis && report.wallMillis > reportMillis }
        return settled.mapNotNull { entry ->
            val isPresent = report.artifacts.any { it.artifact == entry.artifact }
            val isUnseen = checksFencing && report.lastOrder < entry.order
            val isUnloading = entry.state == LedgerState.UNLOADING
            when {
                isPresent && (isUnloading || (isUnseen && entry.state != LedgerState.LOADED)) -> EngineAction.LOAD
                !isPresent && isUnseen -> if (isUnloading) EngineAction.UNLOAD else EngineAction.LOAD
                else -> null
            }?.let { RepeatedOrder(entry.artifact, it) }
        }
    }

    private fun order(artifact: Artifact, event: String, stamp: OrderStamp): MemoryLedger? {
        val entry = entry(artifact) ?: return null
        val order = lastOrder + 1
        val ordered = LoadChart.advance(entry, event).copy(
            order = order,
            fencing = stamp.fencing,
            orderedMillis = maxOf(stamp.orderedMillis, reportMillis),
            settledMillis = maxOf(entry.settledMillis, stamp.settledMillis),
        )
        return copy(lastOrder = order, entries = entries.map { if (it.artifact == artifact) ordered else it })
    }

    private fun isReleased(entry: LedgerEntry, report: EngineReport, checksFencing: Boolean): Boolean =
        report.artifacts.none { it.artifact == entry.artifact } &&
            report.wallMillis > entry.settledMillis &&
            (!checksFencing || report.lastOrder >= entry.order) &&
            LoadChart.ends(entry, LoadChart.RELEASED)

    private fun advance(entry: LedgerEntry, report: EngineReport, checksFencing: Boolean): LedgerEntry {
        val isNewer = report.wallMillis > entry.orderedMillis && (!checksFencing || report.lastOrder >= entry.order)
        val found = report.artifacts.firstOrNull { isNewer && it.artifact == entry.artifact } ?: return entry
        val grown = entry.copy(memory = maxOf(entry.memory, found.memory))
        return when {
            entry.state == LedgerState.UNLOADING -> grown
            found.state == ArtifactState.LOADED -> LoadChart.advance(grown, LoadChart.CONFIRMED)
            found.state == ArtifactState.LOADING -> LoadChart.advance(grown, LoadChart.ACCEPTED)
            else -> grown
        }
    }
}
