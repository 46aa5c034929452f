package dev.bergamotwind.serving.peer

import java.net.InetSocketAddress

/** State of one other VM. */
internal class PeerState {
    var member: PeerMember? = null
    var address: InetSocketAddress? = null
    var leftMillis: Long? = null
    var heardMillis: Long? = null

    /** Time at which the current start of the VM was first seen. */
    var startSeenMillis = Long.MIN_VALUE / 2
    var beat: PeerHeartbeat? = null

    fun isHeard(nowMillis: Long): Boolean = heardMillis?.let { nowMillis - it < PEER_SILENCE_MILLIS } ?: false

    /** Returns true while the VM may be running: registered, reachable, or deregistered too recently to be sure. */
    fun mayRun(nowMillis: Long): Boolean =
        member != null || isHeard(nowMillis) || (leftMillis?.let { nowMillis - it < PEER_LEAVING_MILLIS } ?: false)
}
