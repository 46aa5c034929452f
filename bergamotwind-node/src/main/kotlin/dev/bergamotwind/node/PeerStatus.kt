package dev.bergamotwind.node

import dev.bergamotwind.api.VmId
import kotlinx.serialization.Serializable

/** The last known state of a peer. Shows operators on which nodes a revision is in effect. */
@Serializable
internal data class PeerStatus(
    val vm: VmId,
    val revision: Long,
    val connected: Boolean,
    val lastContactMillis: Long,
    val draining: Boolean,
)
