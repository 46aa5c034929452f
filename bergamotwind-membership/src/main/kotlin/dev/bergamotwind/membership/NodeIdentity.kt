package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.VmId

/** Identity that a node sends to its peers. [address] is the `IP:PORT` at which peers reach it. */
public data class NodeIdentity(val id: VmId, val failureDomain: FailureDomainId, val address: String) {
    internal val peerAddress: PeerAddress get() = PeerAddress(address, failureDomain)
}
