package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.VmId
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
 * A new holder waits for the hand-over time, in which orders of the one before may still arrive. Used on the serving
 * loop.
 */
public class PlacementTerm(
    private val store: FleetStore,
    private val loop: ServingLoop,
    private val lease: VmLease,
    private val own: VmId,
    /** Milliseconds between the last order of one holder and the first of the next. */
    private val handOverMillis: Long,
    /** True when no VM can have been holder before. */
    private val isFirstStart: Boolean,
    private val random: Random,
    private val recorder: EventRecorder,
) {
    private var holderLease: Long? = null
    private var itemTerm = 0L
    private var firstOrderMillis = 0L
    private var seenHolder = false
    private var isKnown = false
    private var attempting = false
    private var released = false

    /** Term of this VM as holder while it may give orders, or null. */
    public val term: Long?
        get() = itemTerm.takeIf {
            !released && holderLease != null && holderLease == lease.id && lease.isValid &&
                loop.nowMillis() >= firstOrderMillis
        }

    /** True when this VM holds the term, also while it must not give orders yet. */
    private val isHolder: Boolean get() = holderLease != null && holderLease == lease.id

    /** The holder item has been read. */
    public fun written(item: StoreItem) {
        isKnown = true
        if (holderLease == item.lease && itemTerm == item.createRevision) return
        holderLease = item.lease
        itemTerm = item.createRevision
        val mine = isHolder
        if (mine) {
            val wait = if (isFirstStart && !seenHolder) 0 else handOverMillis
            firstOrderMillis = loop.nowMillis() + wait
            recorder.event("placement.holder") {
                field("term", itemTerm)
                field("first_order_in_millis", wait)
            }
        }
        seenHolder = true
    }

    /** The holder item is gone, or there is none. */
    public fun vacant() {
        isKnown = true
        holderLease = null
        if (released || attempting) return
        attempting = true
        loop.schedule(random.nextLong(CANDIDACY_SPREAD_MILLIS), ::attempt)
    }

    /** All items have been read once. */
    public fun caughtUp() {
        if (!isKnown) vacant()
    }

    /** Gives the term up; [done] is called in any case. */
    public fun release(done: () -> Unit) {
        val mine = isHolder
        released = true
        if (!mine) return done()
        store.write(StoreWrite(removes = listOf(HOLDER_KEY))) { done() }
    }

    private fun attempt() {
        attempting = false
        if (holderLease != null || released) return
        val held = lease.id
        if (held == null || !lease.isValid) return vacant()
        attempting = true
        val put = StorePut(HOLDER_KEY, own.value.toByteArray(), held)
        store.write(StoreWrite(mapOf(HOLDER_KEY to 0L), listOf(put))) {
            // Whatever the answer, the watch tells who is the holder; only a vacant place needs another attempt.
            loop.schedule(CANDIDACY_RETRY_MILLIS) {
                attempting = false
                if (holderLease == null) vacant()
            }
        }
    }

    /** Keys in the store. */
    public companion object {
        /** Key of the holder item. */
        public const val HOLDER_KEY: String = "bergamotwind/placement/holder"
    }
}
