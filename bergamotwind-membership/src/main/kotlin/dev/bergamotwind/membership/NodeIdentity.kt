package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.VmId

/** A node as it introduces itself to peers. [address] is the `IP:PORT` at which peers reach it. */
public data class NodeIdentity(val id: VmId, val failureDomain: FailureDomainId, val address: String) {
    internal val peerAddress: PeerAddress get() = PeerAddress(address, failureDomain)
}
