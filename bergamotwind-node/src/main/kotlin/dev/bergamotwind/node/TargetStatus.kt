package dev.bergamotwind.node

import dev.bergamotwind.api.TargetId
import kotlinx.serialization.Serializable

/** The state of a target as known to a node. */
@Serializable
internal data class TargetStatus(
    val target: TargetId,
    val state: String,
    val inFlight: Int,
    val artifacts: List<String>,
)
