package dev.bergamotwind.membership

import dev.bergamotwind.api.Revision

/** State of the membership duty for one open link. */
internal class PeerLink(val link: Link, val detailed: Boolean, stores: List<ItemStore>, openedNanos: Long) {
    private val cursors = stores.map(::ItemCursor)
    var nextExchangeNanos = openedNanos
    val writer = ItemWriter()
    val reader = ItemReader()
    private val sends = LinkedHashMap<Long, Long>()
    private var lastDigest: Long? = null
    var awaitedSince: Long? = null

    /** When the peer's request came that is not answered yet. */
    var askedNanos: Long? = null
    var lastContactNanos = openedNanos
        private set
    var revision = Revision(0)
        private set
    var freshnessNanos: Long? = null
        private set
    var draining = false
        private set
    var status: PeerStatus? = null

    val echo: Long? get() = lastDigest

    /** When a digest has to be sent: the answer to a request, or on a dialled link the next request. */
    fun dueNanos(): Long =
        askedNanos ?: nextExchangeNanos.takeIf { link.dialled && awaitedSince == null } ?: Long.MAX_VALUE

    fun sent(sequence: Long, nanos: Long) {
        sends[sequence] = nanos
        if (sends.size > REMEMBERED_SENDS) sends.remove(sends.keys.first())
    }

    /**
     * Takes over a digest received at [nanos]. The peer made it after it had received the digest of this node
     * that it echoes, so its freshness counts from the time at which that one was sent.
     */
    fun received(sequence: Long, digest: DigestMessage, nanos: Long) {
        lastDigest = sequence
        lastContactNanos = nanos
        draining = digest.draining
        val sentNanos = digest.echo?.let { sends[it] }
        // Freshness says "all changes up to then are in this revision", so both change together.
        if (sentNanos != null || digest.revision > revision.value) {
            val age = digest.freshnessAgeMillis
            freshnessNanos = if (sentNanos != null && age != null) sentNanos - age * NANOS_PER_MILLISECOND else null
            revision = Revision(digest.revision)
        }
        reader.read(digest.names, digest.items, sentNanos ?: nanos)
        status = null
    }

    /** Returns unsent items of about [maximumBytes]: first the first store, which leaves a part for the others. */
    fun batch(maximumBytes: Int, nowNanos: Long): ItemWriter.Batch = ItemWriter.Batch().also { batch ->
        cursors.forEachIndexed { index, cursor ->
            val isLast = index == cursors.lastIndex
            val limit = if (isLast) maximumBytes else maximumBytes * FIRST_STORE_PERCENT / PERCENT
            writer.write(cursor, batch, limit, nowNanos)
        }
    }

    fun status(): PeerStatus = status ?: PeerStatus(
        link.peer.id,
        link.peer.failureDomain,
        link.peer.address,
        connected = true,
        revision,
        freshnessNanos,
        lastContactNanos,
        draining,
        DigestItems.demand(reader.all()),
        DigestItems.rates(reader.all()),
        DigestItems.reports(reader.all()),
    ).also { status = it }

    private companion object {
        const val FIRST_STORE_PERCENT = 75
        const val PERCENT = 100
        const val NANOS_PER_MILLISECOND = 1_000_000L
    }
}
