package dev.bergamotwind.routing

import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.configuration.Target

/** Snapshot of the state of a target, for peer digests, metrics and operators. */
public data class TargetStatus(
    val target: Target,
    val state: String,
    val inFlight: Int,
    val report: EngineReport?,
    val hasDirectLeavingSignal: Boolean,
)
