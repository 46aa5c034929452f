package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.VmId
import java.net.InetSocketAddress

/** Hears what other VMs tell. */
internal interface PeerListener {
    /** A newer beat has arrived. */
    fun heard(beat: PeerHeartbeat)

    /** [vm] has not been heard from for a while. */
    fun silent(vm: VmId)

    /** A datagram from [sender] could not be read. */
    fun unreadable(sender: InetSocketAddress, failure: Exception)
}
