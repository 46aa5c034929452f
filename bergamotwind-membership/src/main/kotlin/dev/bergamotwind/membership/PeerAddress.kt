package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId

/** Where a peer listens, as `IP:PORT`, and its failure domain. */
public data class PeerAddress(val address: String, val failureDomain: FailureDomainId)
