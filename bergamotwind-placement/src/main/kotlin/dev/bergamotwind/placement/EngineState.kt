package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.configuration.Target
import kotlin.time.Duration

/** State of an engine during planning: its ledger and newest report, with the planned moves applied by [applyMove]. */
internal class EngineState(val target: Target, ledger: MemoryLedger, private val report: EngineReport?) {
    private val confirmed = confirmedArtifacts(ledger, report)
    private val entries = ledger.entries.associateBy { it.artifact }.toMutableMap()
    private val isLeaving = target.leaving || report?.leaving ?: false

    /** Whether the engine may get new copies and its copies count as available: it has reported and is not leaving. */
    val isUsable: Boolean = report != null && !isLeaving

    /** Memory that can be reserved now. */
    var freeMemory: Mebibytes = target.memory - ledger.used - (report?.let(ledger::unaccountedMemory) ?: Mebibytes(0))
        private set

    /** Memory that can be reserved once the unloads in progress have finished. */
    val freeMemoryAfterUnloads: Mebibytes
        get() = freeMemory + Mebibytes(entriesInState(LedgerEntryState.UNLOADING).sumOf { it.memory.value })

    /** Artifacts that are loaded or being loaded, except those that the engine no longer reports. */
    val copies: List<Artifact> get() = entries.values.filter(::isCopy).map { it.artifact }

    /** Ledger entries in any state, with the planned moves applied. */
    val ledgerEntries: Collection<LedgerEntry> get() = entries.values

    /** Number of model loads that have not finished. */
    val modelLoadsInFlight: Int get() = entriesBeingLoaded().count { it.artifact.adapter == null }

    /** Number of adapter loads that have not finished. */
    val adapterLoadsInFlight: Int get() = entriesBeingLoaded().count { it.artifact.adapter != null }

    /** Whether [artifact] is loaded or being loaded. */
    fun hasCopy(artifact: Artifact): Boolean = entries[artifact]?.let(::isCopy) ?: false

    /** Whether the ledger has an entry for [artifact], in any state. */
    fun hasEntry(artifact: Artifact): Boolean = artifact in entries

    /** Whether both the ledger and the newest report have [artifact] as loaded, and no unload of it is planned. */
    fun isConfirmed(artifact: Artifact): Boolean =
        artifact in confirmed && entries[artifact]?.state == LedgerEntryState.LOADED

    /** Confirmed copies of [model] in any version, without adapters. */
    fun confirmedVersions(model: ModelId): List<Artifact> =
        confirmed.filter { it.model == model && it.adapter == null && isConfirmed(it) }

    /** Whether the last order for [artifact] is at least [residence] old by the engine's clock. */
    fun isResidentFor(artifact: Artifact, residence: Duration): Boolean {
        val entry = entries[artifact] ?: return false
        return report != null && report.wallMillis - entry.orderedMillis >= residence.inWholeMilliseconds
    }

    /** Updates the entries and the free memory as if [move] had been ordered. */
    fun applyMove(move: PlacementMove) {
        when (move) {
            is PlacementMove.Load -> {
                entries[move.artifact] = LedgerEntry(move.artifact, move.memory, LedgerEntryState.RESERVED)
                freeMemory -= move.memory
            }

            is PlacementMove.Unload -> entries.computeIfPresent(move.artifact) { _, entry ->
                entry.copy(state = LedgerEntryState.UNLOADING)
            }
        }
    }

    private fun isCopy(entry: LedgerEntry): Boolean = when (entry.state) {
        LedgerEntryState.RESERVED, LedgerEntryState.LOADING -> true
        LedgerEntryState.LOADED -> entry.artifact in confirmed
        LedgerEntryState.UNLOADING -> false
    }

    private fun entriesBeingLoaded() =
        entriesInState(LedgerEntryState.RESERVED) + entriesInState(LedgerEntryState.LOADING)

    private fun entriesInState(state: LedgerEntryState) = entries.values.filter { it.state == state }

    private companion object {
        fun confirmedArtifacts(ledger: MemoryLedger, report: EngineReport?): Set<Artifact> {
            val loaded = report?.artifacts.orEmpty().filter { it.state == ArtifactState.LOADED }.map { it.artifact }
            return loaded.filter { ledger.entry(it)?.state == LedgerEntryState.LOADED }.toSet()
        }
    }
}
