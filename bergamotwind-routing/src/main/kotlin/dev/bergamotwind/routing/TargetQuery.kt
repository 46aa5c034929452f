package dev.bergamotwind.routing

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.TargetId

/**
 * Asks for a target. [failureDomain] and [region] are the node's own; [prefixHash] names the prompt prefix as engines
 * report it; [excluded] targets were already tried.
 */
public data class TargetQuery(
    val need: TargetNeed,
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val prefixHash: String? = null,
    val excluded: Set<TargetId> = emptySet(),
)
