package dev.bergamotwind.membership

import dev.bergamotwind.api.Revision

/**
 * State that this node publishes to its peers. [freshnessNanos] is the time on the monotonic clock up to which the
 * node is known to have all accepted changes, or null if it has never read the log. [reports] are those of the
 * targets that this node reads itself.
 */
public data class LocalDigest(
    val revision: Revision = Revision(0),
    val freshnessNanos: Long? = null,
    val draining: Boolean = false,
    val demand: List<TokenDemand> = emptyList(),
    val reports: List<TargetDigest> = emptyList(),
    val rateDemand: List<TeamRateDemand> = emptyList(),
)
