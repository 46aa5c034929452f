package dev.bergamotwind.core

import kotlinx.serialization.Serializable

/** A state-chart file. Final states may have no way out; every other state must. */
@Serializable
internal data class StateChartFile(
    val name: String,
    val initial: String,
    val final: List<String> = emptyList(),
    val events: List<String>,
    val transitions: List<TransitionFile>,
)
