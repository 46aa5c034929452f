package dev.bergamotwind.routing

import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.configuration.Target

/** State of a target at one moment, for digests, metrics and operators. */
public data class TargetStatus(
    val target: Target,
    val state: String,
    val inFlight: Int,
    val report: EngineReport?,
    val firstHandLeaving: Boolean,
)
