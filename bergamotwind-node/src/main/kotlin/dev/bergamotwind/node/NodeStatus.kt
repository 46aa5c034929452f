package dev.bergamotwind.node

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.VmId
import kotlinx.serialization.Serializable

/** Status of a node as reported to operators. Durations are in milliseconds, -1 if unknown. */
@Serializable
internal data class NodeStatus(
    val vm: VmId,
    val failureDomain: FailureDomainId,
    val state: String,
    val revision: Long,
    val freshnessMillis: Long,
    val activeRequests: Int,
    val queuedRequests: Int,
    val placementOwner: Boolean,
    val invariantViolations: Map<String, Long>,
    val peers: List<PeerStatus>,
    val targets: List<TargetStatus>,
)
