package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.configuration.Target
import kotlin.time.Duration

/** An engine while a plan is made; [apply] brings in the moves planned so far. */
internal class EngineView(val target: Target, ledger: MemoryLedger, private val report: EngineReport?) {
    private val confirmed = confirmedArtifacts(ledger, report)
    private val entries = ledger.entries.associateBy { it.artifact }.toMutableMap()
    private val isLeaving = target.leaving || report?.leaving ?: false

    /** Whether the engine may get new copies and its copies may be relied on in future. */
    val isUsable: Boolean = report != null && !isLeaving

    /** Memory that can be reserved now. */
    var free: Mebibytes = target.memory - ledger.used - (report?.let(ledger::unaccounted) ?: Mebibytes(0))
        private set

    /** Memory that unloads under way will free. */
    val expectedFree: Mebibytes
        get() = free + Mebibytes(inState(LedgerState.UNLOADING).sumOf { it.memory.value })

    /** Artifacts that are loaded or coming, without those that the engine has lost. */
    val copies: List<Artifact> get() = entries.values.filter(::isCopy).map { it.artifact }

    /** Entries of whatever state. */
    val held: Collection<LedgerEntry> get() = entries.values

    /** Model loads that have not finished. */
    val modelLoadsInFlight: Int get() = loading().count { it.artifact.adapter == null }

    /** Adapter loads that have not finished. */
    val adapterLoadsInFlight: Int get() = loading().count { it.artifact.adapter != null }

    /** Whether [artifact] is loaded or coming. */
    fun hasCopy(artifact: Artifact): Boolean = entries[artifact]?.let(::isCopy) ?: false

    /** Whether the ledger has an entry of [artifact] in whatever state. */
    fun holds(artifact: Artifact): Boolean = artifact in entries

    /** Whether the ledger and the newest report agree that [artifact] is loaded, and no unload is planned. */
    fun isConfirmed(artifact: Artifact): Boolean =
        artifact in confirmed && entries[artifact]?.state == LedgerState.LOADED

    /** Confirmed copies of [model] itself, of whatever version. */
    fun confirmedVersions(model: ModelId): List<Artifact> =
        confirmed.filter { it.model == model && it.adapter == null && isConfirmed(it) }

    /** Whether [artifact] has been here for [residence], on the engine's clock. */
    fun isResidentFor(artifact: Artifact, residence: Duration): Boolean {
        val entry = entries[artifact] ?: return false
        return report != null && report.wallMillis - entry.orderedMillis >= residence.inWholeMilliseconds
    }

    /** Takes [move] into account. */
    fun apply(move: Move) {
        when (move) {
            is Move.Load -> {
                entries[move.artifact] = LedgerEntry(move.artifact, move.memory, LedgerState.RESERVED)
                free -= move.memory
            }

            is Move.Unload -> entries.computeIfPresent(move.artifact) { _, entry ->
                entry.copy(state = LedgerState.UNLOADING)
            }
        }
    }

    private fun isCopy(entry: LedgerEntry): Boolean = when (entry.state) {
        LedgerState.RESERVED, LedgerState.LOADING -> true
        LedgerState.LOADED -> entry.artifact in confirmed
        LedgerState.UNLOADING -> false
    }

    private fun loading() = inState(LedgerState.RESERVED) + inState(LedgerState.LOADING)

    private fun inState(state: LedgerState) = entries.values.filter { it.state == state }

    private companion object {
        fun confirmedArtifacts(ledger: MemoryLedger, report: EngineReport?): Set<Artifact> {
            val loaded = report?.artifacts.orEmpty().filter { it.state == ArtifactState.LOADED }.map { it.artifact }
            return loaded.filter { ledger.entry(it)?.state == LedgerState.LOADED }.toSet()
        }
    }
}
