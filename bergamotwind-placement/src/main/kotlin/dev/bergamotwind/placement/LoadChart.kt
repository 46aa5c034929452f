package dev.bergamotwind.placement

import dev.bergamotwind.core.StateChart

/** The shipped state chart `charts/load.toml` in terms of [LedgerState]. */
internal object LoadChart {
    const val ACCEPTED = "accepted"
    const val CONFIRMED = "confirmed"
    const val UNLOAD_ORDERED = "unload_ordered"
    const val LOAD_REPEATED = "load_repeated"
    const val RELEASED = "released"

    private val chart = StateChart.ofResource(LoadChart::class.java, "/charts/load.toml")
    private val byName = LedgerState.entries.associateBy { it.name.lowercase() }

    /** Returns the entry after [event], or the same entry if the chart declares no such transition. */
    fun advance(entry: LedgerEntry, event: String): LedgerEntry {
        val next = chart.next(entry.state.name.lowercase(), event)?.let(byName::get) ?: return entry
        return entry.copy(state = next)
    }

    /** Whether [event] ends the load of [entry]. */
    fun ends(entry: LedgerEntry, event: String): Boolean =
        chart.next(entry.state.name.lowercase(), event)?.let(chart::isFinal) ?: false
}
