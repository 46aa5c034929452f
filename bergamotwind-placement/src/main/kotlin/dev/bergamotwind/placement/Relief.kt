package dev.bergamotwind.placement

import dev.bergamotwind.configuration.Model

/** A further copy of [model] on [engine], which lowers the congestion cost by [gain] once [evicted] have gone. */
internal data class Relief(
    val engine: EngineView,
    val model: Model,
    val gain: Double,
    val evicted: List<LedgerEntry> = emptyList(),
)
