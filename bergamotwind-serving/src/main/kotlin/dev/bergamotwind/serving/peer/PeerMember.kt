package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.VmId
import kotlinx.serialization.Serializable

/** The registration of a VM in the platform's store. */
@Serializable
public data class PeerMember(
    val vm: VmId,
    val host: String,
    val port: Int,
    val failureDomain: FailureDomainId,
    /** Start of the process in Unix milliseconds. */
    val incarnation: Long,
)
