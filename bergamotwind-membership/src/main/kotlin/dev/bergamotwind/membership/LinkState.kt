package dev.bergamotwind.membership

import dev.bergamotwind.api.Revision

/** State of the digest exchange on one open link, used by the membership worker. */
internal class LinkState(val link: Link, val exchangesDetails: Boolean, stores: List<ItemStore>, openedNanos: Long) {
    private val cursors = stores.map(::ItemCursor)
    var nextRequestNanos = openedNanos
    val writer = ItemWriter()
    val reader = ItemReader()
    private val digestSendNanos = LinkedHashMap<Long, Long>()
    private var lastReceivedSequence: Long? = null
    var awaitingResponseSinceNanos: Long? = null

    /** When the peer's request that is not answered yet was received. */
    var pendingRequestNanos: Long? = null
    var lastContactNanos = openedNanos
        private set
    var revision = Revision(0)
        private set
    var freshnessNanos: Long? = null
        private set
    var draining = false
        private set
    var cachedStatus: PeerStatus? = null

    /** Sequence number of the last digest received, which the next digest to the peer acknowledges. */
    val lastReceivedDigest: Long? get() = lastReceivedSequence

    /** When a digest is due: the response to a pending request, or on an outbound link the next request. */
    fun digestDueNanos(): Long = pendingRequestNanos
        ?: nextRequestNanos.takeIf { link.isOutbound && awaitingResponseSinceNanos == null }
        ?: Long.MAX_VALUE

    fun recordSentDigest(sequence: Long, nanos: Long) {
        digestSendNanos[sequence] = nanos
        if (digestSendNanos.size > MAX_TRACKED_DIGESTS) digestSendNanos.remove(digestSendNanos.keys.first())
    }

    /**
     * Applies a digest received at [nanos]. The peer made it after it had received the digest of this node that it
     * acknowledges, so its freshness counts from the time at which that one was sent.
     */
    fun applyDigest(sequence: Long, digest: DigestMessage, nanos: Long) {
        lastReceivedSequence = sequence
        lastContactNanos = nanos
        draining = digest.draining
        val acknowledgedNanos = digest.acknowledgedDigest?.let { digestSendNanos[it] }
        // Freshness means that the revision contains all changes up to that time, so both are updated together.
        if (acknowledgedNanos != null || digest.revision > revision.value) {
            val age = digest.freshnessAgeMillis
            freshnessNanos =
                if (acknowledgedNanos != null && age != null) acknowledgedNanos - age * NANOS_PER_MILLISECOND else null
            revision = Revision(digest.revision)
        }
        reader.readBatch(digest.newNames, digest.encodedItems, acknowledgedNanos ?: nanos)
        cachedStatus = null
    }

    /** Returns unsent items of about [maximumBytes]. The first store goes first but leaves a part for the others. */
    fun nextBatch(maximumBytes: Int, nowNanos: Long): ItemWriter.Batch = ItemWriter.Batch().also { batch ->
        cursors.forEachIndexed { index, cursor ->
            val isLast = index == cursors.lastIndex
            val limit = if (isLast) maximumBytes else maximumBytes * FIRST_STORE_PERCENT / PERCENT
            writer.writeUnsent(cursor, batch, limit, nowNanos)
        }
    }

    fun status(): PeerStatus = cachedStatus ?: PeerStatus(
        link.peer.id,
        link.peer.failureDomain,
        link.peer.address,
        connected = true,
        revision,
        freshnessNanos,
        lastContactNanos,
        draining,
        DigestItemMapper.tokenDemand(reader.currentItems()),
        DigestItemMapper.rateDemand(reader.currentItems()),
        DigestItemMapper.targetDigests(reader.currentItems()),
    ).also { cachedStatus = it }

    private companion object {
        const val FIRST_STORE_PERCENT = 75
        const val PERCENT = 100
        const val NANOS_PER_MILLISECOND = 1_000_000L
    }
}
