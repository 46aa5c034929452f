package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.VmId
import java.net.InetSocketAddress

/** Receives the heartbeats of other VMs. */
internal interface PeerListener {
    /** Called for each heartbeat newer than the last one of its sender. */
    fun onHeartbeat(heartbeat: PeerHeartbeat)

    /** Called when [vm] has sent no heartbeat for a while. */
    fun onUnreachable(vm: VmId)

    /** Called when a datagram from [sender] could not be decoded; [fault] tells why. */
    fun onUndecodable(sender: InetSocketAddress, fault: String)
}
