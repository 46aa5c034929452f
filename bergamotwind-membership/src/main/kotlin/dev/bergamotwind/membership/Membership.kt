package dev.bergamotwind.membership

import arrow.core.Either
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.SystemClock
import dev.bergamotwind.core.Duty
import dev.bergamotwind.core.HybridLogicalClock

/**
 * Links to the peers of [self] and the digests exchanged over them. [view] may be called by any thread at any time.
 */
public class Membership(
    settings: MembershipSettings,
    self: NodeIdentity,
    configuration: ConfigurationExchange = ConfigurationExchange.None,
    private val clock: Clock = SystemClock,
    private val recorder: EventRecorder = EventRecorder.None,
    hybridClock: HybridLogicalClock = HybridLogicalClock(clock),
) : AutoCloseable {
    private val links = PeerLinks(self, settings, Observer())
    private val handler =
        MembershipHandler(settings, links, configuration, clock, hybridClock, recorder) { current = it }
    private val duty = Duty("membership", handler, TICK_INTERVAL, clock = clock)

    @Volatile
    private var current = PeerView(clock.monotonicNanos())

    /** The identity with the port that is in use, after [start]. */
    public val identity: NodeIdentity get() = links.boundIdentity

    /** The TCP port that is bound, after [start]. */
    public val boundPort: Int get() = links.boundPort

    /** Binds the port and starts to exchange digests. */
    public fun start(): Membership = apply {
        links.start()
        duty.start()
    }

    /** The newest snapshot of peers and failure domains. */
    public fun view(): PeerView = current

    /** Makes [digest] what peers learn of this node from the next exchange on. */
    public fun publish(digest: LocalDigest): Either<Failure, Unit> = duty.send(MembershipMessage.Published(digest))

    /** Replaces the known peers, for example after the VM list has changed. This node may be among them. */
    public fun peers(peers: List<PeerAddress>): Either<Failure, Unit> = duty.send(MembershipMessage.PeersChanged(peers))

    /** Traffic with peers since the start. */
    public fun traffic(): TrafficSnapshot = links.traffic()

    /** Closes all links and ends the duty. */
    override fun close() {
        links.close()
        duty.close()
    }

    private inner class Observer : LinkObserver {
        override fun opened(link: Link) = hand(link, MembershipMessage.Opened(link))

        override fun received(link: Link, received: Link.Received) =
            hand(link, MembershipMessage.Arrived(link, received, clock.monotonicNanos()))

        override fun closed(link: Link, reason: String) = hand(link, MembershipMessage.Closed(link, reason))

        override fun failed(address: String, reason: String, message: String) {
            val fields = listOf("peer" to address, "reason" to reason, "message" to message)
            recorder.record(EventKind("link.refused"), null, fields.map { EventField(it.first, it.second) })
        }

        // A node that cannot keep up with its peers closes links instead of growing a queue.
        private fun hand(link: Link, message: MembershipMessage) {
            duty.send(message).onLeft { link.close() }
        }
    }
}
