package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.peer.EndedTerm
import dev.bergamotwind.serving.store.FleetStore
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.store.StorePut
import dev.bergamotwind.serving.store.StoreWrite
import dev.bergamotwind.serving.store.VmLease
import kotlin.random.Random

/**
 * Elects the VM that sends orders to engines: the placement holder, whose lease is attached to the holder item in the
 * store. The creation revision of that item is the term. A new holder waits for the hand-over time, in which orders of
 * its predecessor may still arrive, unless the predecessor has announced the end of its term; then it waits only for
 * the engines that had an order shortly before. A second item without a lease names the last holder: a VM that was the
 * holder before its restart skips that wait, and need not wait for its earlier lease to expire either. Used on the
 * serving loop.
 */
public class PlacementElection(
    private val store: FleetStore,
    private val loop: ServingLoop,
    private val lease: VmLease,
    private val settings: ElectionSettings,
    /** Returns the number of other VMs that have started after this one. */
    private val laterStarts: () -> Int,
    private val random: Random,
    private val recorder: EventRecorder,
) {
    private val startedMillis = loop.nowMillis()
    private var holder: StoreItem? = null
    private var lastHolder: StoreItem? = null
    private var itemTerm = 0L
    private var firstOrderMillis = 0L
    private var seenHolder = false
    private var isKnown = false
    private var attempting = false
    private var released = false

    /** The last term that this VM has ended before the store did, or 0, and its claim id. */
    private var endedTerm = 0L
    private var endedClaim: Long? = null
    private var endedMillis = 0L
    private var isRemoving = false

    /** Claim id of the last holder on whose item the election of this VM was conditional. */
    private var predecessor: Long? = null
    private var heardEnd: EndedTerm? = null
    private var heardEndMillis = 0L
    private var engineReadyMillis = emptyMap<TargetId, Long>()

    /** True when this VM was the last holder, as known at the latest attempt. */
    private var continuesOwnTerm = false

    /** Term of this VM while it is the holder and may send orders, or null. */
    public val term: Long?
        get() = itemTerm.takeIf {
            !released && it != endedTerm && isHolder && lease.isValid && loop.nowMillis() >= firstOrderMillis
        }

    /**
     * The announcement to the other VMs that this VM has ended its term, as long as they may need it; null otherwise.
     * [orderAges] returns the milliseconds since the last order to each engine that got one within the given time.
     */
    internal fun ended(orderAges: (withinMillis: Long) -> Map<TargetId, Long>): EndedTerm? {
        val now = loop.nowMillis()
        val handOver = settings.handOverMillis
        val claim = endedClaim
        if (claim == null || now - endedMillis > handOver + ENDED_TERM_MARGIN_MILLIS) return null
        // Engines that the predecessor ordered last and that this VM was not yet allowed to send orders to.
        val inherited = engineReadyMillis.filterValues { it > now }.mapValues { (_, ready) -> handOver - (ready - now) }
        return EndedTerm(claim, inherited + orderAges(handOver))
    }

    /** Time before which the engine [target] gets no order of this VM, because the predecessor has just sent it one. */
    internal fun readyMillis(target: TargetId): Long = engineReadyMillis[target] ?: 0L

    /** True when this VM holds the term, even while it must not send orders yet. */
    private val isHolder: Boolean get() = holder != null && holder?.lease == lease.id

    /**
     * True while changes in the store must be seen without delay: at the holder, and at all VMs when there is no
     * holder.
     */
    internal val needsChangesAtOnce: Boolean
        get() = holder == null || isHolder || heardEnd?.let { it.claim == holder?.claim } ?: false

    /**
     * Ends the term for good when its lease can no longer be relied on, and returns true when it did. The other VMs are
     * told, and the next holder need not wait for engines that had no recent order.
     */
    internal fun endIfDoubtful(): Boolean {
        val isOrdering = isHolder && itemTerm != endedTerm && loop.nowMillis() >= firstOrderMillis
        if (isOrdering && !lease.isValid) {
            end()
            return true
        }
        if (isHolder && itemTerm == endedTerm && lease.isValid) removeItem()
        return false
    }

    /** Takes note of another VM's announcement that it has ended its term. */
    internal fun heardEnd(end: EndedTerm) {
        heardEnd = end
        heardEndMillis = loop.nowMillis()
        followPredecessor()
    }

    private fun end() {
        endedTerm = itemTerm
        endedClaim = holder?.claim
        endedMillis = loop.nowMillis()
        recorder.event("placement.term-ended") {
            field("term", endedTerm)
            field("lease_age_millis", lease.ageMillis)
        }
    }

    private fun followPredecessor() {
        val end = heardEnd ?: return
        if (!isHolder || end.claim != predecessor || loop.nowMillis() >= firstOrderMillis) return
        firstOrderMillis = loop.nowMillis()
        engineReadyMillis = end.orderAges.mapValues { heardEndMillis + settings.handOverMillis - it.value }
        recorder.event("placement.handed-over") {
            field("term", itemTerm)
            field("engines_to_wait_for", engineReadyMillis.size)
        }
    }

    private fun removeItem(done: () -> Unit = {}) {
        val held = holder
        if (isRemoving || held == null) return done()
        isRemoving = true
        loop.schedule(TERM_REMOVAL_RETRY_MILLIS) { isRemoving = false }
        store.write(StoreWrite(mapOf(HOLDER_KEY to held.revision), removes = listOf(HOLDER_KEY))) { done() }
    }

    /** Handles a written item under [KEY_PREFIX]. */
    public fun written(item: StoreItem) {
        if (item.key == HOLDER_KEY) holderWritten(item) else lastHolder = item
    }

    /** Handles the removal of an item under [KEY_PREFIX]. */
    public fun removed(key: String) {
        if (key == HOLDER_KEY) vacant() else lastHolder = null
    }

    private fun holderWritten(item: StoreItem) {
        isKnown = true
        val known = holder
        holder = item
        if (known?.lease == item.lease && itemTerm == item.createRevision) return
        itemTerm = item.createRevision
        if (isHolder) {
            val wait = when {
                // A wait that was running in the earlier term, for all engines or for single ones, continues.
                continuesOwnTerm -> (firstOrderMillis - loop.nowMillis()).coerceAtLeast(0)

                settings.isFirstStart && !seenHolder -> 0

                else -> settings.handOverMillis
            }
            firstOrderMillis = loop.nowMillis() + wait
            if (!continuesOwnTerm) engineReadyMillis = emptyMap()
            recorder.event("placement.holder") {
                field("term", itemTerm)
                field("first_order_in_millis", wait)
            }
            followPredecessor()
        } else if (item.isOwn) {
            // An earlier process of this VM was the holder; its lease has not expired yet.
            scheduleAttempt()
        }
        seenHolder = true
    }

    private fun vacant() {
        isKnown = true
        holder = null
        scheduleAttempt()
    }

    // The last holder goes first, then the VM that has started last: when all VMs are restarted one after the other, an
    // earlier one would often be stopped next. After a power failure all VMs start within a few tenths of a second, so
    // the others wait for the last holder, which skips the hand-over time.
    private fun scheduleAttempt() {
        if (released || attempting) return
        attempting = true
        val wasHolder = lastHolder?.isOwn == true || holder?.isOwn == true
        val rank = if (wasHolder) 0 else 1 + laterStarts().coerceAtMost(CANDIDACY_RANKS)
        val isRecentStart = loop.nowMillis() - startedMillis < ALL_STARTED_MILLIS
        val wait = if (!wasHolder && lastHolder != null && isRecentStart) LAST_HOLDER_WAIT_MILLIS else 0
        val step = CANDIDACY_STEP_MILLIS
        loop.schedule(wait + rank * step + random.nextLong(step), ::attempt)
    }

    /** Random id that both items of one holder carry, and no other holder's. */
    private val StoreItem.claim: Long? get() = value.decodeToString().substringAfterLast(CLAIM_MARK).toLongOrNull()

    private val StoreItem.isOwn: Boolean get() = value.decodeToString().substringBeforeLast(CLAIM_MARK) == settings.own

    /** Called when all items have been read once. */
    public fun caughtUp() {
        if (!isKnown) vacant()
    }

    /** Gives up the term; [done] is called in any case. */
    public fun release(done: () -> Unit) {
        val isOrdering = term != null
        released = true
        if (isOrdering) end()
        if (isHolder) removeItem(done) else done()
    }

    private fun attempt() {
        attempting = false
        if (released || !isOpen) return
        val held = lease.id
        if (held == null || !lease.isValid) return scheduleAttempt()
        attempting = true
        // The condition on the last holder's item ensures that nobody else was the holder in between.
        val expected = mapOf(HOLDER_KEY to (holder?.revision ?: 0L), LAST_HOLDER_KEY to (lastHolder?.revision ?: 0L))
        continuesOwnTerm = lastHolder?.isOwn == true
        predecessor = lastHolder?.claim
        val name = (settings.own + CLAIM_MARK + random.nextLong()).toByteArray()
        val puts = listOf(StorePut(HOLDER_KEY, name, held), StorePut(LAST_HOLDER_KEY, name, lease = 0))
        // Whatever the answer, the watch shows who is the holder; another attempt is needed only when there is none.
        store.write(StoreWrite(expected, puts)) { retryLater() }
    }

    /** True when there is no holder, or when it is an earlier process of this VM. */
    private val isOpen: Boolean get() = holder.let { it == null || (it.isOwn && !isHolder) }

    private fun retryLater() {
        loop.schedule(CANDIDACY_RETRY_MILLIS) {
            attempting = false
            if (isOpen) scheduleAttempt()
        }
    }

    /** Keys in the store. */
    public companion object {
        /** Prefix of the keys of the election's items. */
        public const val KEY_PREFIX: String = "bergamotwind/placement/"
        private const val CLAIM_MARK = '#'
        internal const val HOLDER_KEY: String = KEY_PREFIX + "holder"
        internal const val LAST_HOLDER_KEY: String = KEY_PREFIX + "last-holder"
    }
}
