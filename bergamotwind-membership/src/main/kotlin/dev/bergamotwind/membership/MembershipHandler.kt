package dev.bergamotwind.membership

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.DutyHandler
import dev.bergamotwind.core.HybridLogicalClock
import dev.bergamotwind.core.HybridTime
import kotlin.random.Random

/** Exchanges digests over the open links and publishes the view; runs on the membership worker thread. */
internal class MembershipHandler(
    private val settings: MembershipSettings,
    private val links: LinkManager,
    configuration: ConfigurationExchange,
    private val clock: Clock,
    private val hybridClock: HybridLogicalClock,
    private val recorder: EventRecorder,
    private val publishView: (PeerView) -> Unit,
) : DutyHandler<MembershipMessage> {
    private val self: NodeIdentity get() = links.boundIdentity
    private val openLinks = LinkedHashMap<Link, LinkState>()
    private val disconnectedPeers = LinkedHashMap<String, PeerStatus>()
    private val dialler = NeighbourDialler(settings, links, clock.monotonicNanos())
    private val configurationSync = ConfigurationSync(settings, configuration)
    private val localItems = ItemStore()
    private val relayedSummaries = ItemStore()
    private val ownDomainSummary = ItemStore()
    private val byteBudget = ByteBudget(settings.bytesPerSecond, clock.monotonicNanos())
    private var localDigest = LocalDigest()
    private var peers = settings.peers
    private var isViewOutdated = true
    private var nextSummaryNanos = 0L
    private var isRelay = false

    override fun handle(message: MembershipMessage) {
        when (message) {
            is MembershipMessage.LinkOpened -> onLinkOpened(message.link)
            is MembershipMessage.LinkClosed -> onLinkClosed(message.link, message.reason)
            is MembershipMessage.DigestPublished -> onDigestPublished(message.digest)
            is MembershipMessage.PeersChanged -> peers = message.peers
            is MembershipMessage.MessageReceived -> openLinks[message.link]?.let { onMessage(it, message) }
        }
        isViewOutdated = true
    }

    override fun tick(nowNanos: Long) {
        dialler.update(peers, openLinks.keys, nowNanos)
        disconnectedPeers.keys.retainAll { address -> peers.any { it.address == address } }
        closeUnhealthyLinks(nowNanos)
        if (nowNanos >= nextSummaryNanos) updateSummaries(nowNanos)
        sendDueDigests(nowNanos)
        if (isViewOutdated) publishView(buildView(nowNanos))
        isViewOutdated = false
    }

    private fun onLinkOpened(link: Link) {
        val now = clock.monotonicNanos()
        val exchangesDetails = settings.topology.exchangesDetails(self.peerAddress, link.peer.peerAddress)
        val stores = if (exchangesDetails) listOf(localItems, relayedSummaries) else listOf(ownDomainSummary)
        val state = LinkState(link, exchangesDetails, stores, now)
        // Spreads the exchanges of a node over the interval.
        state.nextRequestNanos += Random.nextLong(settings.digestInterval.inWholeNanoseconds)
        openLinks[link] = state
        disconnectedPeers.remove(link.peer.address)
        recordEvent("link.opened", link.peer.address, "id" to link.peer.id.value)
        closeDuplicates(link.peer.address)
    }

    // When both nodes dialled, the link dialled by the lower address is kept; both sides choose the same one.
    private fun closeDuplicates(address: String) {
        val duplicates = openLinks.keys.filter { it.peer.address == address }
        if (duplicates.size < 2) return
        val kept = duplicates.lastOrNull { it.isOutbound == (self.address < address) } ?: duplicates.last()
        duplicates.filter { it !== kept }.forEach { it.close() }
    }

    private fun onLinkClosed(link: Link, reason: String) {
        val state = openLinks.remove(link) ?: return
        if (openLinks.keys.none { it.peer.address == link.peer.address }) {
            disconnectedPeers[link.peer.address] = state.status().copy(connected = false)
        }
        recordEvent("link.closed", link.peer.address, "reason" to reason)
    }

    private fun onDigestPublished(digest: LocalDigest) {
        localDigest = digest
        val now = clock.monotonicNanos()
        localItems.replaceAll(DigestItemMapper.toItems(digest, now), now)
    }

    private fun closeUnhealthyLinks(nowNanos: Long) {
        val timeoutNanos = settings.peerTimeout.inWholeNanoseconds
        openLinks.values.filter { state ->
            nowNanos - (state.awaitingResponseSinceNanos ?: nowNanos) > timeoutNanos
        }.forEach { closeLink(it, "silent") }
        // The responding side detects a frozen peer by missing requests. The limit is twice as long, because the byte
        // budget may extend the request interval.
        openLinks.values.filter { nowNanos - it.lastContactNanos > 2 * timeoutNanos }
            .forEach { closeLink(it, "silent") }
        openLinks.values.filter { it.writer.isNameTableFull }.forEach { closeLink(it, "names") }
    }

    private fun closeLink(state: LinkState, reason: String) {
        state.link.close()
        onLinkClosed(state.link, reason)
        isViewOutdated = true
    }

    private fun updateSummaries(nowNanos: Long) {
        nextSummaryNanos = nowNanos + DIGEST_INTERVALS_PER_SUMMARY * settings.digestInterval.inWholeNanoseconds
        if (!isRelay && openLinks.values.all { it.exchangesDetails }) return
        isRelay = true
        val ownDomain = DomainSummarizer.summarize(self.failureDomain, localDigest, connectedStatuses(), nowNanos)
        ownDomainSummary.replaceAll(DigestItemMapper.toItems(ownDomain), nowNanos)
        // Only summaries received directly from the other domain are relayed, so that none circulates.
        val received = openLinks.values.filter { !it.exchangesDetails }
            .flatMap { DigestItemMapper.domainSummaries(it.reader.currentItems()) }
        val newest = newestPerDomain(received)
        relayedSummaries.replaceAll(newest.flatMap { DigestItemMapper.toItems(it) }, nowNanos)
    }

    private fun newestPerDomain(summaries: List<DomainSummary>): List<DomainSummary> =
        summaries.groupBy { it.failureDomain }.values.map { sameDomain -> sameDomain.maxBy { it.observedNanos } }

    // Requests and responses wait for the byte budget in one order. A node that gets more requests than its budget
    // allows responds late, which slows its peers down, because each has at most one request outstanding.
    private fun sendDueDigests(nowNanos: Long) {
        val due = openLinks.values.filter { it.digestDueNanos() <= nowNanos }.sortedBy { it.digestDueNanos() }
        for (state in due) {
            if (byteBudget.availableBytes(nowNanos) <= 0) return
            val digest = buildDigest(state, nowNanos)
            if (state.pendingRequestNanos == null) {
                state.awaitingResponseSinceNanos = nowNanos
                state.nextRequestNanos = nowNanos + settings.digestInterval.inWholeNanoseconds
                send(state, LinkMessage(digestRequest = digest), nowNanos, isDigest = true)
            } else {
                state.pendingRequestNanos = null
                send(state, LinkMessage(digestResponse = digest), nowNanos, isDigest = true)
            }
        }
    }

    private fun buildDigest(state: LinkState, nowNanos: Long): DigestMessage {
        // Each link gets an equal share of the bytes of one interval; items that do not fit wait for the next digest.
        val bytesPerInterval =
            settings.bytesPerSecond * settings.digestInterval.inWholeMilliseconds / MILLISECONDS_PER_SECOND
        val batchBytes = maxOf(bytesPerInterval.toInt() / openLinks.size - DIGEST_OVERHEAD_BYTES, MIN_BATCH_BYTES)
        val batch = state.nextBatch(batchBytes, nowNanos)
        val time = hybridClock.now()
        val freshnessAgeMillis = localDigest.freshnessNanos?.let { (nowNanos - it) / NANOS_PER_MILLISECOND }
        return DigestMessage(
            time.millis,
            time.counter,
            localDigest.revision.value,
            freshnessAgeMillis,
            state.lastReceivedDigest,
            localDigest.draining,
            batch.newNames,
            batch.encodedItems,
        )
    }

    private fun send(state: LinkState, message: LinkMessage, nowNanos: Long, isDigest: Boolean) {
        val frame = state.link.send(message) ?: return closeLink(state, "frozen")
        if (isDigest) state.recordSentDigest(frame.sequence, nowNanos)
        byteBudget.spend(frame.bytes)
    }

    // A protocol violation by one peer must not end the handling of the others.
    private fun onMessage(state: LinkState, event: MembershipMessage.MessageReceived) {
        try {
            dispatch(state, event)
        } catch (violation: LinkException) {
            closeLink(state, violation.reason)
        }
    }

    private fun dispatch(state: LinkState, event: MembershipMessage.MessageReceived) {
        val message = event.received.message
        message.digestRequest?.let {
            onDigest(state, it, event)
            state.pendingRequestNanos = event.receivedNanos
            sendDueDigests(clock.monotonicNanos())
        }
        message.digestResponse?.let {
            state.awaitingResponseSinceNanos = null
            onDigest(state, it, event)
        }
        message.changesRequest?.let {
            send(state, configurationSync.respond(it), event.receivedNanos, isDigest = false)
        }
        message.changesResponse?.let(configurationSync::handleResponse)
    }

    private fun onDigest(state: LinkState, digest: DigestMessage, event: MembershipMessage.MessageReceived) {
        hybridClock.receive(HybridTime(digest.clockMillis, digest.clockCounter))
        state.applyDigest(event.received.sequence, digest, event.receivedNanos)
        configurationSync.nextRequest(state.revision, event.receivedNanos)?.let {
            send(state, it, event.receivedNanos, isDigest = false)
        }
    }

    private fun connectedStatuses(): List<PeerStatus> = openLinks.values.map { it.status() }.distinctBy { it.address }

    private fun buildView(nowNanos: Long): PeerView {
        val domains = openLinks.values.flatMap { DigestItemMapper.domainSummaries(it.reader.currentItems()) }
        return PeerView(nowNanos, connectedStatuses() + disconnectedPeers.values, newestPerDomain(domains))
    }

    private fun recordEvent(kind: String, address: String, field: Pair<String, String>) = recorder.record(
        EventKind(kind),
        null,
        listOf(EventField("peer", address), EventField(field.first, field.second)),
    )

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000L
        const val NANOS_PER_MILLISECOND = 1_000_000L
    }
}
