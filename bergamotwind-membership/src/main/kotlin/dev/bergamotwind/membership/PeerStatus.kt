package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Last known state of a peer. Times are on this node's monotonic clock. The peer had all changes accepted up to
 * [freshnessNanos], which is derived from the send time of the digest that the peer acknowledged.
 */
public data class PeerStatus(
    val id: VmId,
    val failureDomain: FailureDomainId,
    val address: String,
    val connected: Boolean,
    val revision: Revision,
    val freshnessNanos: Long?,
    val lastContactNanos: Long,
    val draining: Boolean,
    val demand: List<TokenDemand>,
    val rateDemand: List<TeamRateDemand>,
    val reports: List<TargetDigest>,
) {
    /** Age of the peer's freshness at [nowNanos], or null when it is unknown. */
    public fun freshnessAge(nowNanos: Long): Duration? = freshnessNanos?.let { (nowNanos - it).nanoseconds }
}
