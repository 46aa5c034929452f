package dev.bergamotwind.serving.peer

import java.net.InetSocketAddress

/** State of one other VM. */
internal class PeerState {
    var member: PeerMember? = null
    var address: InetSocketAddress? = null
    var deregisteredMillis: Long? = null
    var lastHeartbeatMillis: Long? = null

    /** Time at which the current start of the VM was first seen. */
    var incarnationSeenMillis = Long.MIN_VALUE / 2
    var heartbeat: PeerHeartbeat? = null

    fun isReachable(nowMillis: Long): Boolean =
        lastHeartbeatMillis?.let { nowMillis - it < PEER_TIMEOUT_MILLIS } ?: false

    fun isRecentlyHeard(nowMillis: Long): Boolean =
        lastHeartbeatMillis?.let { nowMillis - it <= MAX_HEARTBEAT_INTERVAL_MILLIS } ?: false

    /** Returns true while the VM may be running: registered, reachable, or deregistered too recently to be sure. */
    fun mayBeRunning(nowMillis: Long): Boolean = member != null || isReachable(nowMillis) ||
        (deregisteredMillis?.let { nowMillis - it < DEREGISTERED_PEER_GRACE_MILLIS } ?: false)
}
