package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.ServingLoop
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.net.InetSocketAddress

/**
 * The other VMs: their registrations, their last heartbeats, and the heartbeats sent to them. Used on the serving loop.
 */
@OptIn(ExperimentalSerializationApi::class)
public class Peers internal constructor(
    private val loop: ServingLoop,
    private val own: VmId,
    private val transport: PeerTransport,
    private val isSameRegion: (FailureDomainId) -> Boolean,
    private val listener: PeerListener,
) {
    private val states = LinkedHashMap<VmId, PeerState>()
    private val codec = Cbor { preferCborLabelsOverNames = true }
    private var number = 0L
    private var lastSentMillis = -PEER_BEAT_MILLIS
    private var farSentMillis = -PEER_BEAT_MILLIS

    /** Number of VMs that may be running, including this one. */
    public val count: Int get() = 1 + loop.nowMillis().let { now -> states.values.count { it.mayRun(now) } }

    /** Share of the VMs that may be running whose heartbeats arrive, including this one. */
    public val heardShare: Double
        get() {
            val now = loop.nowMillis()
            return (1.0 + states.values.count { it.isHeard(now) }) / (1 + states.values.count { it.mayRun(now) })
        }

    /** True while a VM has started so recently that it does not know yet what teams have used. */
    internal val hasRecentStart: Boolean
        get() = loop.nowMillis().let { now -> states.values.any { now - it.startSeenMillis < RECENT_START_MILLIS } }

    /** Returns the number of registered VMs that have started after [incarnation]. */
    internal fun laterStarts(incarnation: Long): Int =
        states.values.count { peer -> (peer.member?.incarnation ?: 0) > incarnation }

    /** Returns the last heartbeats of the reachable VMs. */
    internal fun heardBeats(): List<PeerHeartbeat> {
        val now = loop.nowMillis()
        return states.values.filter { it.isHeard(now) }.mapNotNull { it.beat }
    }

    /** Handles the registration of a VM. */
    public fun joined(member: PeerMember) {
        if (member.vm == own) return
        val peer = states.getOrPut(member.vm) { PeerState() }
        peer.member = member
        peer.leftMillis = null
        peer.address = InetSocketAddress(member.host, member.port)
    }

    /** Handles the end of the registration of [vm]. */
    public fun left(vm: VmId) {
        val peer = states[vm] ?: return
        peer.member = null
        peer.leftMillis = loop.nowMillis()
    }

    /**
     * Sends [heartbeat] with a new sequence number to the VMs that may be running; those in other regions get fewer
     * heartbeats, unless [isUrgent].
     */
    internal fun send(beat: PeerHeartbeat, isUrgent: Boolean) {
        lastSentMillis = loop.nowMillis()
        val reachesFar = isUrgent || lastSentMillis - farSentMillis >= PEER_FAR_BEAT_MILLIS
        if (reachesFar) farSentMillis = lastSentMillis
        val bytes = encode(beat)
        for (peer in states.values) {
            val address = peer.address ?: continue
            if (reachesFar || isNear(peer)) transport.send(address, bytes)
        }
    }

    /**
     * Sends [heartbeat] with a new sequence number to [vm] only; the others get its content with the next broadcast.
     */
    internal fun sendTo(vm: VmId, beat: PeerHeartbeat) {
        states[vm]?.address?.let { transport.send(it, encode(beat)) }
    }

    private fun encode(beat: PeerHeartbeat): ByteArray =
        codec.encodeToByteArray(PeerHeartbeat.serializer(), beat.copy(number = ++number))

    private fun isNear(peer: PeerState): Boolean = peer.member?.let { isSameRegion(it.failureDomain) } ?: false

    /**
     * True when the next heartbeat is due; the interval grows with the number of VMs, which bounds what each receives.
     */
    internal fun isBeatDue(): Boolean = loop.nowMillis() - lastSentMillis >= beatIntervalMillis()

    /** True when an extra heartbeat may be sent before the next one is due. */
    internal fun mayBeatEarly(): Boolean = loop.nowMillis() - lastSentMillis >= beatIntervalMillis() / EARLY_BEAT_PART

    /** Handles a datagram from [sender]. */
    public fun received(sender: InetSocketAddress, bytes: ByteArray) {
        val beat = try {
            codec.decodeFromByteArray(PeerHeartbeat.serializer(), bytes)
        } catch (failure: SerializationException) {
            listener.unreadable(sender, failure)
            return
        } catch (failure: IllegalArgumentException) {
            listener.unreadable(sender, failure)
            return
        }
        if (beat.vm == own) return
        val peer = states.getOrPut(beat.vm) { PeerState() }
        val known = peer.beat
        val isOld = known != null && (
            beat.incarnation < known.incarnation ||
                (beat.incarnation == known.incarnation && beat.number <= known.number)
            )
        if (isOld) return
        if (beat.incarnation != known?.incarnation) peer.startSeenMillis = loop.nowMillis()
        peer.beat = beat
        peer.heardMillis = loop.nowMillis()
        if (peer.address == null) peer.address = sender
        listener.heard(beat)
    }

    /** Removes VMs that are gone, and reports those that have become unreachable to the listener. */
    internal fun sweep() {
        val now = loop.nowMillis()
        for ((vm, peer) in states) {
            if (peer.beat == null || peer.isHeard(now)) continue
            peer.beat = peer.beat?.copy(loads = emptyMap(), demand = emptyMap())
            listener.silent(vm)
        }
        states.values.removeIf { !it.mayRun(now) }
    }

    private fun beatIntervalMillis(): Long =
        (PEER_BEAT_PER_VM_MILLIS * (states.size + 1)).coerceIn(PEER_BEAT_MILLIS, PEER_BEAT_LONGEST_MILLIS)
}
