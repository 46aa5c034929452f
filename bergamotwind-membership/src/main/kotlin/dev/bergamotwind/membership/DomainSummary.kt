package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Revision

/**
 * What is known of another failure domain: the number of its live nodes, the lowest applied revision among them, and
 * its demand and load per model. [observedNanos] is on this node's monotonic clock.
 */
public data class DomainSummary(
    val failureDomain: FailureDomainId,
    val observedNanos: Long,
    val nodeCount: Int,
    val lowestRevision: Revision,
    val demand: List<TokenDemand>,
    val models: List<ModelLoad>,
)
