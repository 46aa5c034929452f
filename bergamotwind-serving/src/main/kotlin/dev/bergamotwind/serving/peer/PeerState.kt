package dev.bergamotwind.serving.peer

import java.net.InetSocketAddress

/** What is known of one other VM. */
internal class PeerState {
    var member: PeerMember? = null
    var address: InetSocketAddress? = null
    var leftMillis: Long? = null
    var heardMillis: Long? = null

    /** Time at which the present start of the VM was first heard of. */
    var startSeenMillis = Long.MIN_VALUE / 2
    var beat: PeerHeartbeat? = null

    fun isHeard(nowMillis: Long): Boolean = heardMillis?.let { nowMillis - it < PEER_SILENCE_MILLIS } ?: false

    /** True while the VM may be running: registered, heard from, or gone too shortly to be sure. */
    fun mayRun(nowMillis: Long): Boolean =
        member != null || isHeard(nowMillis) || (leftMillis?.let { nowMillis - it < PEER_LEAVING_MILLIS } ?: false)
}
