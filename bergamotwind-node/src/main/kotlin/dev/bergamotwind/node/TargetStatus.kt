package dev.bergamotwind.node

import dev.bergamotwind.api.TargetId
import kotlinx.serialization.Serializable

/** What a node knows about a target. */
@Serializable
internal data class TargetStatus(
    val target: TargetId,
    val state: String,
    val inFlight: Int,
    val artifacts: List<String>,
)
