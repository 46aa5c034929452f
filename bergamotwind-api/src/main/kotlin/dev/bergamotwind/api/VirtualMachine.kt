package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** An entry of the platform's VM list. [address] is an IP number. */
@Serializable
public data class VirtualMachine(
    val id: VmId,
    val failureDomain: FailureDomainId,
    val address: String,
    val state: VirtualMachineState,
)
