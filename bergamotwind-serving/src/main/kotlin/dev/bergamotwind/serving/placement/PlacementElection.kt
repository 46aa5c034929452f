package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.peer.EndedTerm
import dev.bergamotwind.serving.store.FleetStore
import dev.bergamotwind.serving.store.StoreEraTracker
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.store.StorePut
import dev.bergamotwind.serving.store.StoreWrite
import dev.bergamotwind.serving.store.VmLease
import kotlin.random.Random

/**
 * Elects the VM that sends orders to engines: the placement holder, whose lease is attached to the holder item in the
 * store. The creation revision of that item, in the era of the store, is the term. A new holder waits for the
 * hand-over time, in which orders of its predecessor may still arrive, unless the predecessor has announced the end of
 * its term; then it waits only for the engines that had an order shortly before. A second item without a lease names
 * the last holder: a VM that was the holder before its restart skips that wait, and need not wait for its earlier
 * lease to expire either; when it ends the term, it announces that its earlier process may have given orders up to the
 * restart. That item also tells whether the last holder was still waiting itself; its next process then waits from the
 * beginning. Used on the serving loop.
 */
public class PlacementElection(
    private val store: FleetStore,
    private val loop: ServingLoop,
    private val lease: VmLease,
    private val settings: ElectionSettings,
    /** Returns the number of other VMs that have started after this one. */
    private val countLaterStarts: () -> Int,
    private val random: Random,
    private val recorder: EventRecorder,
    private val eras: StoreEraTracker = StoreEraTracker(recorder),
) {
    private val startedMillis = loop.nowMillis()
    private var holder: StoreItem? = null
    private var lastHolder: StoreItem? = null
    private var holderTerm = 0L
    private var firstOrderMillis = 0L
    private var hasSeenHolder = false
    private var isHolderKnown = false
    private var isAttemptPending = false
    private var isReleased = false

    /** The last term that this VM has ended before the store did, or 0, and its claim id. */
    private var endedTerm = 0L
    private var endedClaimId: Long? = null
    private var endedMillis = 0L
    private var isRemovalPending = false

    /** Claim id of the last holder on whose item the election of this VM was conditional. */
    private var predecessorClaimId: Long? = null
    private var announcedEnd: EndedTerm? = null
    private var announcedEndMillis = 0L
    private val predecessorOrders = PredecessorOrders(settings.handOverMillis)

    /** True when this VM was the last holder, as known at the latest attempt. */
    private var continuesOwnTerm = false

    /** Claim id of the term that this VM held until it heard of the latest era, or null. */
    private var continuedClaimId: Long? = null

    /** True when the store has not lost who was the last holder, as known at the latest attempt. */
    private var isPredecessorKnown = true

    /** True when no VM has ever been the holder, as known at the latest attempt. */
    private var hasNoPredecessor = false

    /** True once this process has held a term, so that it knows how long it still has to wait. */
    private var hasHeldTerm = false

    /** True when this process has continued the term of an earlier process of this VM, whose orders are unknown. */
    private var continuesEarlierProcess = false

    /** Called when this VM has ended its term before the store did, and before it announces that. */
    public var onTermEnded: (() -> Unit)? = null

    /** Term of this VM while it is the holder and may send orders, or null. */
    public val term: Long?
        get() = holderTerm.takeIf {
            !isReleased && it != endedTerm && isHolder && lease.isValid && loop.nowMillis() >= firstOrderMillis
        }

    /**
     * Returns the announcement to the other VMs that this VM has ended its term, as long as they may need it; null
     * otherwise. [orderAges] returns the milliseconds since the last order to each engine that got one within the given
     * time.
     */
    internal fun endedTermAnnouncement(orderAges: (withinMillis: Long) -> Map<TargetId, Long>): EndedTerm? {
        val now = loop.nowMillis()
        val handOver = settings.handOverMillis
        val claimId = endedClaimId
        if (claimId == null || now - endedMillis > handOver + ENDED_TERM_ANNOUNCEMENT_MARGIN_MILLIS) return null
        // The earlier process had ended when this one started.
        val earlierProcessAge = (now - startedMillis).takeIf { continuesEarlierProcess && it < handOver }
        return EndedTerm(
            claimId,
            predecessorOrders.ages(now) + orderAges(handOver),
            listOfNotNull(predecessorOrders.otherAge(now), earlierProcessAge).minOrNull(),
        )
    }

    /** Time before which the engine [target] gets no order of this VM, because the predecessor has just sent it one. */
    internal fun earliestOrderMillis(target: TargetId): Long = predecessorOrders.earliestOrderMillis(target)

    /** True when this VM holds the term, even while it must not send orders yet. */
    private val isHolder: Boolean get() = holder != null && holder?.lease == lease.id

    /**
     * True while changes in the store must be seen without delay: at the holder, and at all VMs when there is no
     * holder.
     */
    internal val needsImmediateChanges: Boolean
        get() = holder == null || isHolder || announcedEnd?.let { it.claimId == holder?.claim?.id } ?: false

    /**
     * Ends the term for good when its lease can no longer be relied on, and returns true when it did. The other VMs are
     * told, and the next holder need not wait for engines that had no recent order.
     */
    internal fun endTermIfLeaseInvalid(): Boolean {
        val maySendOrders = isHolder && holderTerm != endedTerm && loop.nowMillis() >= firstOrderMillis
        if (maySendOrders && !lease.isValid) {
            endTerm()
            return true
        }
        if (isHolder && holderTerm == endedTerm && lease.isValid) removeHolderItem()
        return false
    }

    /**
     * Ends the term, because the store has returned from an older copy: it may name an earlier holder now, or none. A
     * holder goes on at once only if its term was in force until now and the store still knows it.
     */
    internal fun onNewEra() {
        continuedClaimId = holder?.claim?.id.takeIf { term != null }
        if (continuedClaimId != null) onTermEnded?.invoke()
        holder = null
        lastHolder = null
        holderTerm = 0
        isHolderKnown = false
        predecessorClaimId = null
        announcedEnd = null
    }

    /** Takes note of another VM's announcement that it has ended its term. */
    internal fun onTermEndAnnounced(end: EndedTerm) {
        announcedEnd = end
        announcedEndMillis = loop.nowMillis()
        startAfterPredecessorEnd()
    }

    private fun endTerm() {
        endedTerm = holderTerm
        endedClaimId = holder?.claim?.id
        endedMillis = loop.nowMillis()
        onTermEnded?.invoke()
        recorder.event("placement.term-ended") {
            field("term", endedTerm)
            field("lease_age_millis", lease.ageMillis)
        }
    }

    private fun startAfterPredecessorEnd() {
        val end = announcedEnd ?: return
        if (!isHolder || end.claimId != predecessorClaimId || loop.nowMillis() >= firstOrderMillis) return
        firstOrderMillis = loop.nowMillis()
        predecessorOrders.replaceBy(end, announcedEndMillis)
        recorder.event("placement.handed-over") {
            field("term", holderTerm)
            field("engines_to_wait_for", end.orderAges.size)
            field("wait_for_others_millis", end.otherOrdersAge?.let { settings.handOverMillis - it })
        }
    }

    private fun removeHolderItem(done: () -> Unit = {}) {
        val held = holder
        if (isRemovalPending || held == null) return done()
        isRemovalPending = true
        loop.schedule(HOLDER_ITEM_REMOVAL_RETRY_MILLIS) { isRemovalPending = false }
        store.write(StoreWrite(mapOf(HOLDER_KEY to held.revision), deletes = listOf(HOLDER_KEY))) { done() }
    }

    /** Handles a written item under [KEY_PREFIX]. */
    public fun onItemWritten(item: StoreItem) {
        if (item.key == HOLDER_KEY) onHolderWritten(item) else lastHolder = item
    }

    /** Handles the removal of an item under [KEY_PREFIX]. */
    public fun onKeyRemoved(key: String) {
        if (key == HOLDER_KEY) onHolderRemoved() else lastHolder = null
    }

    private fun onHolderWritten(item: StoreItem) {
        isHolderKnown = true
        val known = holder
        holder = item
        val newTerm = eras.current.term(item.createRevision)
        if (known?.lease == item.lease && holderTerm == newTerm) return
        holderTerm = newTerm
        if (isHolder) {
            val wait = firstOrderWaitMillis()
            firstOrderMillis = loop.nowMillis() + wait
            if (!continuesOwnTerm) predecessorOrders.clear()
            continuesEarlierProcess = continuesOwnTerm && (continuesEarlierProcess || !hasHeldTerm)
            hasHeldTerm = true
            recorder.event("placement.holder") {
                field("term", holderTerm)
                field("first_order_in_millis", wait)
                field("continues_earlier_process", continuesEarlierProcess)
            }
            startAfterPredecessorEnd()
            scheduleWaitingMarkRemoval(holderTerm)
        } else if (item.isFromThisVm) {
            // An earlier process of this VM was the holder; its lease has not expired yet.
            scheduleAttempt()
        }
        hasSeenHolder = true
    }

    /** Milliseconds until this VM may send its first order if it becomes the holder now. */
    private fun firstOrderWaitMillis(): Long = when {
        // A wait that was running in the earlier term, for all engines or for single ones, continues.
        continuesOwnTerm && hasHeldTerm -> (firstOrderMillis - loop.nowMillis()).coerceAtLeast(0)

        continuesOwnTerm && lastHolder?.claim?.isWaiting != true -> 0

        // A VM that reaches the store late at its first start succeeds a holder like any other.
        settings.isFirstStart && hasNoPredecessor && !hasSeenHolder && !eras.hasChanged -> 0

        isPredecessorKnown -> settings.handOverMillis

        // A holder that has not heard of the new era gives orders until its lease has ended.
        else -> settings.leaseMillis + settings.handOverMillis
    }

    /** Time at which this VM may send orders to all engines. */
    private val waitEndMillis: Long get() = maxOf(firstOrderMillis, predecessorOrders.endMillis)

    // Without this write the next process of this VM only waits longer than necessary, so failures are harmless.
    private fun scheduleWaitingMarkRemoval(heldTerm: Long) {
        val delay = (waitEndMillis - loop.nowMillis()).coerceAtLeast(CANDIDACY_RETRY_MILLIS)
        loop.schedule(delay) {
            val held = holder
            val last = lastHolder
            val isCurrent = term == heldTerm && held != null && last != null && last.claim.id == held.claim.id
            if (!isCurrent || !last.claim.isWaiting) return@schedule
            if (loop.nowMillis() < waitEndMillis) return@schedule scheduleWaitingMarkRemoval(heldTerm)
            val expected = mapOf(HOLDER_KEY to held.revision, LAST_HOLDER_KEY to last.revision)
            store.write(StoreWrite(expected, listOf(StorePut(LAST_HOLDER_KEY, held.value, lease = 0)))) { result ->
                if (result.isLeft()) scheduleWaitingMarkRemoval(heldTerm)
            }
        }
    }

    private fun onHolderRemoved() {
        isHolderKnown = true
        holder = null
        scheduleAttempt()
    }

    // The last holder goes first, then the VM that has started last: when all VMs are restarted one after the other, an
    // earlier one would often be stopped next. After a power failure all VMs start within a few tenths of a second, so
    // the others wait for the last holder, which skips the hand-over time.
    private fun scheduleAttempt() {
        if (isReleased || isAttemptPending) return
        isAttemptPending = true
        val wasHolder = lastHolder?.isFromThisVm == true || holder?.isFromThisVm == true
        val rank = if (wasHolder) 0 else 1 + countLaterStarts().coerceAtMost(MAX_RANKED_LATER_STARTS)
        val isRecentStart = loop.nowMillis() - startedMillis < STARTUP_WINDOW_MILLIS
        val wait = if (!wasHolder && lastHolder != null && isRecentStart) LAST_HOLDER_WAIT_MILLIS else 0
        val step = CANDIDACY_RANK_DELAY_MILLIS
        loop.schedule(wait + rank * step + random.nextLong(step), ::tryBecomeHolder)
    }

    private val StoreItem.claim: HolderClaim get() = HolderClaim.decode(value)

    private val StoreItem.isFromThisVm: Boolean get() = claim.identity == settings.identity

    /** Called when all items have been read once. */
    public fun onSynced() {
        if (!isHolderKnown) onHolderRemoved()
    }

    /** Gives up the term; [done] is called in any case. */
    public fun release(done: () -> Unit) {
        val maySendOrders = term != null
        isReleased = true
        if (maySendOrders) endTerm()
        if (isHolder) removeHolderItem(done) else done()
    }

    private fun tryBecomeHolder() {
        isAttemptPending = false
        if (isReleased || !isVacant) return
        val held = lease.id
        if (held == null || !lease.isValid) return scheduleAttempt()
        isAttemptPending = true
        // The condition on the last holder's item ensures that nobody else was the holder in between.
        val expected = mapOf(HOLDER_KEY to (holder?.revision ?: 0L), LAST_HOLDER_KEY to (lastHolder?.revision ?: 0L))
        val last = lastHolder?.claim
        // Later holders than the one that a copy names may have been lost.
        val isOfThisEra = last?.era == eras.current
        isPredecessorKnown = isOfThisEra || (last == null && !eras.hasChanged)
        continuesOwnTerm = last?.identity == settings.identity && (isOfThisEra || last.id == continuedClaimId)
        hasNoPredecessor = last == null
        predecessorClaimId = last?.id.takeIf { isOfThisEra }
        val claim = HolderClaim(settings.identity, random.nextLong(), eras.current)
        val mustWait = firstOrderWaitMillis() > 0 || (continuesOwnTerm && waitEndMillis > loop.nowMillis())
        val puts = listOf(
            StorePut(HOLDER_KEY, claim.encode(), held),
            StorePut(LAST_HOLDER_KEY, claim.copy(isWaiting = mustWait).encode(), lease = 0),
        )
        // Whatever the answer, the watch shows who is the holder; another attempt is needed only when there is none.
        store.write(StoreWrite(expected, puts)) { retryLater() }
    }

    /** True when there is no holder, or when it is an earlier process of this VM. */
    private val isVacant: Boolean get() = holder.let { it == null || (it.isFromThisVm && !isHolder) }

    private fun retryLater() {
        loop.schedule(CANDIDACY_RETRY_MILLIS) {
            isAttemptPending = false
            if (isVacant) scheduleAttempt()
        }
    }

    /** Keys in the store. */
    public companion object {
        /** Prefix of the keys of the election's items. */
        public const val KEY_PREFIX: String = "bergamotwind/placement/"
        internal const val HOLDER_KEY: String = KEY_PREFIX + "holder"
        internal const val LAST_HOLDER_KEY: String = KEY_PREFIX + "last-holder"
    }
}
