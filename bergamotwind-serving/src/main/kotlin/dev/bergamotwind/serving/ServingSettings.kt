package dev.bergamotwind.serving

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.VmId

/** Settings of an entry VM, and the limits that the deployment guarantees. Times are in milliseconds. */
public data class ServingSettings(
    val vm: VmId,
    /** Address at which other VMs reach this one. */
    val host: String,
    /** UDP port for heartbeats. */
    val peerPort: Int,
    val failureDomain: FailureDomainId,
    val regions: Map<FailureDomainId, RegionId>,
    /** True when the whole system starts for the first time. */
    val isFirstStart: Boolean,
    /** Share of a service's requests that may be retried. */
    val retryShare: Double,
    /** Retries allowed beyond that share in each window, over all VMs. */
    val retryFixed: Double,
    val retryWindowMillis: Long,
    /** Tokens that a team may use beyond its rate and burst in a window, over all VMs. */
    val rateToleranceTokens: Double,
    /** Time to live of the VM's lease in the store. */
    val leaseMillis: Long,
    /** Maximum delay of changes in the store at a VM that is not the placement holder. */
    val watchPauseMillis: Long,
    /** Minimum time between the last order of one holder and the first of the next. */
    val handOverMillis: Long,
    /** Time after which VMs that reach each other and the platform are expected to know of a change. */
    val contactMillis: Long,
    /** Time from the stop signal until the process is killed. */
    val graceMillis: Long,
)
