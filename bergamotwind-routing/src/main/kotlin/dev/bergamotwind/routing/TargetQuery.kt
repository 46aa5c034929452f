package dev.bergamotwind.routing

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.TargetId

/**
 * A request for a target. [failureDomain] and [region] are those of this node. [prefixHash] identifies the prompt
 * prefix in the form that engines report. Targets in [excluded] were already tried.
 */
public data class TargetQuery(
    val requirement: TargetRequirement,
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val prefixHash: String? = null,
    val excluded: Set<TargetId> = emptySet(),
)
