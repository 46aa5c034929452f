package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.decode
import dev.bergamotwind.serving.targets.StableHash
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import java.net.InetSocketAddress

/**
 * The other VMs: their registrations, their last heartbeats, and the heartbeats sent to them. Used on the serving loop.
 */
@OptIn(ExperimentalSerializationApi::class)
public class Peers internal constructor(
    private val loop: ServingLoop,
    private val ownVm: VmId,
    private val transport: PeerTransport,
    private val isSameRegion: (FailureDomainId) -> Boolean,
    private val listener: PeerListener,
) {
    private val states = LinkedHashMap<VmId, PeerState>()
    private val codec = Cbor { preferCborLabelsOverNames = true }
    private var sequence = 0L
    private var lastSentMillis = -MIN_HEARTBEAT_INTERVAL_MILLIS
    private var crossRegionSentMillis = -MIN_HEARTBEAT_INTERVAL_MILLIS

    /** Number of VMs that may be running, including this one. */
    public val count: Int get() = 1 + loop.nowMillis().let { now -> states.values.count { it.mayBeRunning(now) } }

    /** Share of the VMs that may be running whose heartbeats arrive, including this one. */
    public val reachableShare: Double
        get() {
            val now = loop.nowMillis()
            return (1.0 + states.values.count { it.isReachable(now) }) /
                (1 + states.values.count { it.mayBeRunning(now) })
        }

    /** True while a VM has started so recently that it does not know yet what teams have used. */
    internal val hasRecentStart: Boolean
        get() = loop.nowMillis().let { now ->
            states.values.any { now - it.incarnationSeenMillis < RECENT_START_MILLIS }
        }

    /** Returns the number of registered VMs that have started after [incarnation]. */
    internal fun countStartedAfter(incarnation: Long): Int =
        states.values.count { peer -> (peer.member?.incarnation ?: 0) > incarnation }

    /**
     * Returns at most [limit] of the VMs that may be running, and at least one, that may send to [target]. They are
     * chosen by rendezvous hashing, so that all VMs agree without communication.
     */
    internal fun senders(target: TargetId, limit: Int): SenderGroup {
        val now = loop.nowMillis()
        val seed = StableHash.hash(target.value.hashCode().toLong())
        val running = states.filterValues { it.mayBeRunning(now) }.keys + ownVm
        val chosen = if (running.size <= limit) {
            running
        } else {
            running.sortedBy { StableHash.hash(seed xor it.value.hashCode().toLong()) }.take(limit.coerceAtLeast(1))
        }
        val peers = chosen.mapNotNull(states::get)
        val own = if (ownVm in chosen) 1 else 0
        return SenderGroup(
            includesThisVm = own > 0,
            size = chosen.size,
            reachable = own + peers.count { it.isReachable(now) },
            recentlyHeard = own + peers.count { it.isRecentlyHeard(now) },
        )
    }

    /** Returns the last heartbeats of the reachable VMs. */
    internal fun reachableHeartbeats(): List<PeerHeartbeat> {
        val now = loop.nowMillis()
        return states.values.filter { it.isReachable(now) }.mapNotNull { it.heartbeat }
    }

    /** Handles the registration of a VM at [address]. */
    public fun onRegistered(member: PeerMember, address: InetSocketAddress) {
        if (member.vm == ownVm) return
        val peer = states.getOrPut(member.vm) { PeerState() }
        peer.member = member
        peer.deregisteredMillis = null
        peer.address = address
    }

    /** Handles the end of the registration of [vm]. */
    public fun onDeregistered(vm: VmId) {
        val peer = states[vm] ?: return
        peer.member = null
        peer.deregisteredMillis = loop.nowMillis()
    }

    /**
     * Sends [heartbeat] with a new sequence number to the VMs that may be running; those in other regions get fewer
     * heartbeats, unless [isUrgent].
     */
    internal fun broadcast(heartbeat: PeerHeartbeat, isUrgent: Boolean) {
        lastSentMillis = loop.nowMillis()
        val includesOtherRegions =
            isUrgent || lastSentMillis - crossRegionSentMillis >= CROSS_REGION_HEARTBEAT_INTERVAL_MILLIS
        if (includesOtherRegions) crossRegionSentMillis = lastSentMillis
        val bytes = encode(heartbeat)
        for (peer in states.values) {
            val address = peer.address ?: continue
            if (includesOtherRegions || isInSameRegion(peer)) transport.send(address, bytes)
        }
    }

    /**
     * Sends [heartbeat] with a new sequence number to [vm] only; the others get its content with the next broadcast.
     */
    internal fun sendTo(vm: VmId, heartbeat: PeerHeartbeat) {
        states[vm]?.address?.let { transport.send(it, encode(heartbeat)) }
    }

    private fun encode(heartbeat: PeerHeartbeat): ByteArray =
        codec.encodeToByteArray(PeerHeartbeat.serializer(), heartbeat.copy(sequence = ++sequence))

    private fun isInSameRegion(peer: PeerState): Boolean = peer.member?.let { isSameRegion(it.failureDomain) } ?: false

    /**
     * True when the next heartbeat is due; the interval grows with the number of VMs, which bounds what each receives.
     */
    internal fun isHeartbeatDue(): Boolean = loop.nowMillis() - lastSentMillis >= heartbeatIntervalMillis()

    /** True when an extra heartbeat may be sent before the next one is due. */
    internal fun maySendEarly(): Boolean =
        loop.nowMillis() - lastSentMillis >= heartbeatIntervalMillis() / EARLY_HEARTBEAT_DIVISOR

    /** Handles a datagram from [sender]. */
    public fun onDatagram(sender: InetSocketAddress, bytes: ByteArray) {
        val heartbeat = codec.decode(PeerHeartbeat.serializer(), bytes)
            .fold({ return listener.onUndecodable(sender, it) }, { it })
        if (heartbeat.vm == ownVm) return
        val peer = states.getOrPut(heartbeat.vm) { PeerState() }
        val last = peer.heartbeat
        val isOutdated = last != null && (
            heartbeat.incarnation < last.incarnation ||
                (heartbeat.incarnation == last.incarnation && heartbeat.sequence <= last.sequence)
            )
        if (isOutdated) return
        if (heartbeat.incarnation != last?.incarnation) peer.incarnationSeenMillis = loop.nowMillis()
        peer.heartbeat = heartbeat
        peer.lastHeartbeatMillis = loop.nowMillis()
        if (peer.address == null) peer.address = sender
        listener.onHeartbeat(heartbeat)
    }

    /** Removes VMs that are gone, and reports those that have become unreachable to the listener. */
    internal fun removeExpired() {
        val now = loop.nowMillis()
        for ((vm, peer) in states) {
            if (peer.heartbeat == null || peer.isReachable(now)) continue
            peer.heartbeat = peer.heartbeat?.copy(loads = emptyMap(), demand = emptyMap())
            listener.onUnreachable(vm)
        }
        states.values.removeIf { !it.mayBeRunning(now) }
    }

    private fun heartbeatIntervalMillis(): Long = (HEARTBEAT_INTERVAL_PER_VM_MILLIS * (states.size + 1)).coerceIn(
        MIN_HEARTBEAT_INTERVAL_MILLIS,
        MAX_HEARTBEAT_INTERVAL_MILLIS,
    )
}
