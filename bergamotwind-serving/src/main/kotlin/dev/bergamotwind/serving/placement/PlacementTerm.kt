package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.store.FleetStore
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.store.StorePut
import dev.bergamotwind.serving.store.StoreWrite
import dev.bergamotwind.serving.store.VmLease
import kotlin.random.Random

/**
 * Which VM gives orders to engines: the one whose lease the holder item bears. Its revision of creation is the term.
 * A new holder waits for the hand-over time, in which orders of the one before may still arrive. A second item, which
 * no lease ends, names the last holder: a VM that was it before its restart goes on without that wait, and need not
 * wait for the end of its earlier lease either. Used on the serving loop.
 */
public class PlacementTerm(
    private val store: FleetStore,
    private val loop: ServingLoop,
    private val lease: VmLease,
    private val settings: TermSettings,
    /** Number of the other VMs that have started after this one. */
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

    /** True when the last attempt was made on the knowledge that this VM was the last holder. */
    private var continuesOwnTerm = false

    /** Term of this VM as holder while it may give orders, or null. */
    public val term: Long?
        get() = itemTerm.takeIf {
            !released && isHolder && lease.isValid && loop.nowMillis() >= firstOrderMillis
        }

    /** True when this VM holds the term, also while it must not give orders yet. */
    private val isHolder: Boolean get() = holder != null && holder?.lease == lease.id

    /** True while what the store says must be known at once: by the holder, and by all when there is none. */
    internal val needsChangesAtOnce: Boolean get() = holder == null || isHolder

    /** An item of this class has been read. */
    public fun written(item: StoreItem) {
        if (item.key == HOLDER_KEY) holderWritten(item) else lastHolder = item
    }

    /** An item of this class is gone. */
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
            val wait = if (continuesOwnTerm || (settings.isFirstStart && !seenHolder)) 0 else settings.handOverMillis
            firstOrderMillis = loop.nowMillis() + wait
            recorder.event("placement.holder") {
                field("term", itemTerm)
                field("first_order_in_millis", wait)
            }
        } else if (item.isOwn) {
            // An earlier process of this VM was the holder; its lease has not ended yet.
            scheduleAttempt()
        }
        seenHolder = true
    }

    private fun vacant() {
        isKnown = true
        holder = null
        scheduleAttempt()
    }

    // The VM that was the holder goes first, then the one that has started last: a planned stop of all VMs in turn
    // would otherwise often reach the next holder too. After a loss of power all VMs start within a few tenths of a
    // second, so the others wait for the one that was the holder and need not wait for the hand-over time then.
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

    private val StoreItem.isOwn: Boolean get() = value.decodeToString() == settings.own

    /** All items have been read once. */
    public fun caughtUp() {
        if (!isKnown) vacant()
    }

    /** Gives the term up; [done] is called in any case. */
    public fun release(done: () -> Unit) {
        val held = holder.takeIf { isHolder }
        released = true
        if (held == null) return done()
        store.write(StoreWrite(mapOf(HOLDER_KEY to held.revision), removes = listOf(HOLDER_KEY))) { done() }
    }

    private fun attempt() {
        attempting = false
        if (released || !isOpen) return
        val held = lease.id
        if (held == null || !lease.isValid) return scheduleAttempt()
        attempting = true
        // Under the condition on the last holder's item nobody can have been the holder in between.
        val expected = mapOf(HOLDER_KEY to (holder?.revision ?: 0L), LAST_HOLDER_KEY to (lastHolder?.revision ?: 0L))
        continuesOwnTerm = lastHolder?.isOwn == true
        val name = settings.own.toByteArray()
        val puts = listOf(StorePut(HOLDER_KEY, name, held), StorePut(LAST_HOLDER_KEY, name, lease = 0))
        // Whatever the answer, the watch tells who is the holder; only an open place needs another attempt.
        store.write(StoreWrite(expected, puts)) { retryLater() }
    }

    /** True when nobody is the holder, or an earlier process of this VM. */
    private val isOpen: Boolean get() = holder.let { it == null || (it.isOwn && !isHolder) }

    private fun retryLater() {
        loop.schedule(CANDIDACY_RETRY_MILLIS) {
            attempting = false
            if (isOpen) scheduleAttempt()
        }
    }

    /** Keys in the store. */
    public companion object {
        /** Beginning of the keys of this class's items. */
        public const val KEY_PREFIX: String = "bergamotwind/placement/"
        internal const val HOLDER_KEY: String = KEY_PREFIX + "holder"
        internal const val LAST_HOLDER_KEY: String = KEY_PREFIX + "last-holder"
    }
}
