package dev.bergamotwind.placement

import dev.bergamotwind.core.StateChart

/** Applies the state chart of the resource `charts/load.toml` to ledger entries. */
internal object LoadStateChart {
    const val ACCEPTED = "accepted"
    const val CONFIRMED = "confirmed"
    const val UNLOAD_ORDERED = "unload_ordered"
    const val LOAD_REPEATED = "load_repeated"
    const val RELEASED = "released"

    private val chart = StateChart.ofResource(LoadStateChart::class.java, "/charts/load.toml")
    private val stateByName = LedgerEntryState.entries.associateBy { it.name.lowercase() }

    /** Returns [entry] in its state after [event], or unchanged if the chart has no such transition. */
    fun transition(entry: LedgerEntry, event: String): LedgerEntry {
        val next = chart.next(entry.state.name.lowercase(), event)?.let(stateByName::get) ?: return entry
        return entry.copy(state = next)
    }

    /** Whether [event] takes [entry] to the final state. */
    fun isFinalTransition(entry: LedgerEntry, event: String): Boolean =
        chart.next(entry.state.name.lowercase(), event)?.let(chart::isFinal) ?: false
}
