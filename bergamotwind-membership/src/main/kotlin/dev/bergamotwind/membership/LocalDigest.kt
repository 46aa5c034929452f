package dev.bergamotwind.membership

import dev.bergamotwind.api.Revision

/**
 * What this node tells its peers. [freshnessNanos] is the time on the monotonic clock up to which the node is known
 * to have all accepted changes, or null when it has never read the log. [reports] are those of the targets that this
 * node reads itself.
 */
public data class LocalDigest(
    val revision: Revision = Revision(0),
    val freshnessNanos: Long? = null,
    val draining: Boolean = false,
    val demand: List<Demand> = emptyList(),
    val reports: List<TargetDigest> = emptyList(),
    val rates: List<RateDemand> = emptyList(),
)
