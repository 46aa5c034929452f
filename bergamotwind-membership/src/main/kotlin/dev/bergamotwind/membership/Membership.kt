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
 * Maintains links to the peers of [self] and exchanges digests over them. [view] may be called by any thread at any
 * time.
 */
public class Membership(
    settings: MembershipSettings,
    self: NodeIdentity,
    configuration: ConfigurationExchange = ConfigurationExchange.None,
    private val clock: Clock = SystemClock,
    private val recorder: EventRecorder = EventRecorder.None,
    hybridClock: HybridLogicalClock = HybridLogicalClock(clock),
) : AutoCloseable {
    private val links = LinkManager(self, settings, LinkEventForwarder())
    private val handler =
        MembershipHandler(settings, links, configuration, clock, hybridClock, recorder) { currentView = it }
    private val duty = Duty("membership", handler, TICK_INTERVAL, clock = clock)

    @Volatile
    private var currentView = PeerView(clock.monotonicNanos())

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
    public fun view(): PeerView = currentView

    /** Replaces the digest of this node that peers receive from the next exchange on. */
    public fun publish(digest: LocalDigest): Either<Failure, Unit> =
        duty.send(MembershipMessage.DigestPublished(digest))

    /** Replaces the known peers, for example after the VM list has changed. This node may be among them. */
    public fun updatePeers(peers: List<PeerAddress>): Either<Failure, Unit> =
        duty.send(MembershipMessage.PeersChanged(peers))

    /** Traffic with peers since the start. */
    public fun traffic(): TrafficSnapshot = links.traffic()

    /** Closes all links and stops the worker thread. */
    override fun close() {
        links.close()
        duty.close()
    }

    private inner class LinkEventForwarder : LinkListener {
        override fun onOpened(link: Link) = enqueue(link, MembershipMessage.LinkOpened(link))

        override fun onMessage(link: Link, received: Link.ReceivedMessage) =
            enqueue(link, MembershipMessage.MessageReceived(link, received, clock.monotonicNanos()))

        override fun onClosed(link: Link, reason: String) = enqueue(link, MembershipMessage.LinkClosed(link, reason))

        override fun onConnectionFailed(address: String, reason: String, message: String) {
            val fields = listOf("peer" to address, "reason" to reason, "message" to message)
            recorder.record(EventKind("link.refused"), null, fields.map { EventField(it.first, it.second) })
        }

        // A node that cannot keep up with its peers closes links instead of letting a queue grow.
        private fun enqueue(link: Link, message: MembershipMessage) {
            duty.send(message).onLeft { link.close() }
        }
    }
}
