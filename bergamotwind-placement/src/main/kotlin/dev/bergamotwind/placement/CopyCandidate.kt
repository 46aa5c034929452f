package dev.bergamotwind.placement

import dev.bergamotwind.configuration.Model

/** A possible copy of [model] on [engine]; it lowers the congestion cost by [gain] once [evicted] are unloaded. */
internal data class CopyCandidate(
    val engine: EngineState,
    val model: Model,
    val gain: Double,
    val evicted: List<LedgerEntry> = emptyList(),
)
