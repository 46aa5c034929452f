package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Revision

/**
 * What is known of another failure domain: its live [nodes], the lowest applied [revision] among them, and its
 * demand and load per model. [observedNanos] is on this node's monotonic clock.
 */
public data class DomainSummary(
    val failureDomain: FailureDomainId,
    val observedNanos: Long,
    val nodes: Int,
    val revision: Revision,
    val demand: List<Demand>,
    val models: List<ModelLoad>,
)
