package dev.bergamotwind.membership

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.DutyHandler
import dev.bergamotwind.core.HybridLogicalClock
import dev.bergamotwind.core.HybridTime
import kotlin.random.Random

/** The membership duty: exchanges digests over the open links and publishes the view. */
internal class MembershipHandler(
    private val settings: MembershipSettings,
    private val links: PeerLinks,
    configuration: ConfigurationExchange,
    private val clock: Clock,
    private val hybridClock: HybridLogicalClock,
    private val recorder: EventRecorder,
    private val publishView: (PeerView) -> Unit,
) : DutyHandler<MembershipMessage> {
    private val self: NodeIdentity get() = links.boundIdentity
    private val open = LinkedHashMap<Link, PeerLink>()
    private val lost = LinkedHashMap<String, PeerStatus>()
    private val dialler = NeighbourDialler(settings, links, clock.monotonicNanos())
    private val changes = ChangesExchange(settings, configuration)
    private val details = ItemStore()
    private val relayed = ItemStore()
    private val summary = ItemStore()
    private val budget = ByteBudget(settings.bytesPerSecond, clock.monotonicNanos())
    private var local = LocalDigest()
    private var peers = settings.peers
    private var changed = true
    private var nextSummaryNanos = 0L
    private var relaying = false

    override fun handle(message: MembershipMessage) {
        when (message) {
            is MembershipMessage.Opened -> opened(message.link)
            is MembershipMessage.Closed -> closed(message.link, message.reason)
            is MembershipMessage.Published -> published(message.digest)
            is MembershipMessage.PeersChanged -> peers = message.peers
            is MembershipMessage.Arrived -> open[message.link]?.let { arrived(it, message) }
        }
        changed = true
    }

    override fun tick(nowNanos: Long) {
        dialler.update(peers, open.keys, nowNanos)
        lost.keys.retainAll { address -> peers.any { it.address == address } }
        closeSilent(nowNanos)
        if (nowNanos >= nextSummaryNanos) summarise(nowNanos)
        exchange(nowNanos)
        if (changed) publishView(view(nowNanos))
        changed = false
    }

    private fun opened(link: Link) {
        val now = clock.monotonicNanos()
        val detailed = settings.topology.exchangesDetails(self.peerAddress, link.peer.peerAddress)
        val peer = PeerLink(link, detailed, if (detailed) listOf(details, relayed) else listOf(summary), now)
        // Spreads the exchanges of a node over the interval.
        peer.nextExchangeNanos += Random.nextLong(settings.digestInterval.inWholeNanoseconds)
        open[link] = peer
        lost.remove(link.peer.address)
        record("link.opened", link.peer.address, "id" to link.peer.id.value)
        closeDuplicates(link.peer.address)
    }

    // When both nodes dialled, the link dialled by the lesser address stays; both sides decide alike.
    private fun closeDuplicates(address: String) {
        val same = open.keys.filter { it.peer.address == address }
        if (same.size < 2) return
        val kept = same.lastOrNull { it.dialled == (self.address < address) } ?: same.last()
        same.filter { it !== kept }.forEach { it.close() }
    }

    private fun closed(link: Link, reason: String) {
        val ended = open.remove(link) ?: return
        if (open.keys.none { it.peer.address == link.peer.address }) {
            lost[link.peer.address] = ended.status().copy(connected = false)
        }
        record("link.closed", link.peer.address, "reason" to reason)
    }

    private fun published(digest: LocalDigest) {
        local = digest
        val now = clock.monotonicNanos()
        details.replace(DigestItems.of(digest, now), now)
    }

    private fun closeSilent(nowNanos: Long) {
        val limit = settings.silenceLimit.inWholeNanoseconds
        open.values.filter { silent ->
            nowNanos - (silent.awaitedSince ?: nowNanos) > limit
        }.forEach { drop(it, "silent") }
        // The side that answers sees a frozen peer as one that asks no more; the budget may stretch the interval.
        open.values.filter { nowNanos - it.lastContactNanos > 2 * limit }.forEach { drop(it, "silent") }
        open.values.filter { it.writer.isFull }.forEach { drop(it, "names") }
    }

    private fun drop(peer: PeerLink, reason: String) {
        peer.link.close()
        closed(peer.link, reason)
        changed = true
    }

    private fun summarise(nowNanos: Long) {
        nextSummaryNanos = nowNanos + SUMMARY_INTERVALS * settings.digestInterval.inWholeNanoseconds
        if (!relaying && open.values.all { it.detailed }) return
        relaying = true
        val ownDomain = DomainSummaries.of(self.failureDomain, local, statuses(), nowNanos)
        summary.replace(DigestItems.of(ownDomain), nowNanos)
        // Only what came directly from the other domain is passed on, so that no summary travels in a circle.
        val received = open.values.filter { !it.detailed }.flatMap { DigestItems.domains(it.reader.all()) }
        val newest = newestPerDomain(received)
        relayed.replace(newest.flatMap { DigestItems.of(it) }, nowNanos)
    }

    private fun newestPerDomain(summaries: List<DomainSummary>): List<DomainSummary> =
        summaries.groupBy { it.failureDomain }.values.map { same -> same.maxBy { it.observedNanos } }

    // Requests and answers wait in one order for the byte budget. A node that is asked more than it may send answers
    // late, which slows its peers down, as each has one request on the way.
    private fun exchange(nowNanos: Long) {
        val due = open.values.filter { it.dueNanos() <= nowNanos }.sortedBy { it.dueNanos() }
        for (peer in due) {
            if (budget.available(nowNanos) <= 0) return
            val digest = digest(peer, nowNanos)
            if (peer.askedNanos == null) {
                peer.awaitedSince = nowNanos
                peer.nextExchangeNanos = nowNanos + settings.digestInterval.inWholeNanoseconds
                send(peer, LinkMessage(digestRequest = digest), nowNanos, isDigest = true)
            } else {
                peer.askedNanos = null
                send(peer, LinkMessage(digestResponse = digest), nowNanos, isDigest = true)
            }
        }
    }

    private fun digest(peer: PeerLink, nowNanos: Long): DigestMessage {
        // Each link gets its share of the bytes of one interval; what does not fit waits for the next digest.
        val bytes = settings.bytesPerSecond * settings.digestInterval.inWholeMilliseconds / MILLISECONDS_PER_SECOND
        val room = maxOf(bytes.toInt() / open.size - BARE_DIGEST_BYTES, SHORTEST_BATCH_BYTES)
        val batch = peer.batch(room, nowNanos)
        val time = hybridClock.now()
        val age = local.freshnessNanos?.let { (nowNanos - it) / NANOS_PER_MILLISECOND }
        return DigestMessage(
            time.millis,
            time.counter,
            local.revision.value,
            age,
            peer.echo,
            local.draining,
            batch.names,
            batch.items,
        )
    }

    private fun send(peer: PeerLink, message: LinkMessage, nowNanos: Long, isDigest: Boolean) {
        val sent = peer.link.send(message) ?: return drop(peer, "frozen")
        if (isDigest) peer.sent(sent.sequence, nowNanos)
        budget.spend(sent.bytes)
    }

    // A broken peer must not end the duty's handling of the others.
    private fun arrived(peer: PeerLink, arrived: MembershipMessage.Arrived) {
        try {
            take(peer, arrived)
        } catch (broken: LinkException) {
            drop(peer, broken.reason)
        }
    }

    private fun take(peer: PeerLink, arrived: MembershipMessage.Arrived) {
        val message = arrived.received.message
        message.digestRequest?.let {
            digested(peer, it, arrived)
            peer.askedNanos = arrived.nanos
            exchange(clock.monotonicNanos())
        }
        message.digestResponse?.let {
            peer.awaitedSince = null
            digested(peer, it, arrived)
        }
        message.changesRequest?.let { send(peer, changes.answer(it), arrived.nanos, isDigest = false) }
        message.changesResponse?.let(changes::take)
    }

    private fun digested(peer: PeerLink, digest: DigestMessage, arrived: MembershipMessage.Arrived) {
        hybridClock.receive(HybridTime(digest.millis, digest.counter))
        peer.received(arrived.received.sequence, digest, arrived.nanos)
        changes.request(peer.revision, arrived.nanos)?.let { send(peer, it, arrived.nanos, isDigest = false) }
    }

    private fun statuses(): List<PeerStatus> = open.values.map { it.status() }.distinctBy { it.address }

    private fun view(nowNanos: Long): PeerView {
        val domains = open.values.flatMap { DigestItems.domains(it.reader.all()) }
        return PeerView(nowNanos, statuses() + lost.values, newestPerDomain(domains))
    }

    private fun record(kind: String, address: String, field: Pair<String, String>) = recorder.record(
        EventKind(kind),
        null,
        listOf(EventField("peer", address), EventField(field.first, field.second)),
    )

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000L
        const val NANOS_PER_MILLISECOND = 1_000_000L
    }
}
