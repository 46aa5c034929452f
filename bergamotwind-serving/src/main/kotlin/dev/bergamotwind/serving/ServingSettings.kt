package dev.bergamotwind.serving

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.VmId

/** What an entry VM is told about itself and about what its users promise each other. Times are in milliseconds. */
public data class ServingSettings(
    val vm: VmId,
    /** Address that other VMs reach. */
    val host: String,
    /** UDP port for beats. */
    val peerPort: Int,
    val failureDomain: FailureDomainId,
    val regions: Map<FailureDomainId, RegionId>,
    /** True when the whole system starts for the first time. */
    val isFirstStart: Boolean,
    /** Part of a service's requests that may be sent once more. */
    val retryShare: Double,
    /** Retries beyond that part in each window, over all VMs. */
    val retryFixed: Double,
    val retryWindowMillis: Long,
    /** Tokens that a team may use beyond its rate and burst in a window, over all VMs. */
    val rateToleranceTokens: Double,
    /** Time to live of the VM's lease in the store. */
    val leaseMillis: Long,
    /** Time for which changes in the store may stay unknown to a VM that gives no orders. */
    val watchPauseMillis: Long,
    /** Least time between the orders of one holder and those of the next. */
    val handOverMillis: Long,
    /** Time from the signal to stop until the process is killed. */
    val graceMillis: Long,
)
