package dev.bergamotwind.serving.store

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.StepGuard
import kotlin.random.Random

/**
 * Watches the items under one prefix: reads all of them, then waits for changes. After an interruption it continues
 * from the last revision, or reads everything again when the history is no longer available. Used on the serving loop.
 */
public class StoreWatcher(
    private val store: FleetStore,
    private val loop: ServingLoop,
    private val prefix: String,
    private val random: Random,
    private val recorder: EventRecorder,
    private val listener: StoreListener,
    /**
     * Returns the minimum milliseconds between the starts of two watches. Every change ends the watches of all VMs, so
     * without a pause the number of calls grows with changes times VMs; changes during the pause are delivered together
     * by the next watch.
     */
    private val pauseMillis: () -> Long = { 0 },
) {
    private val guard = StepGuard(recorder)
    private val known = HashSet<String>()
    private var revision: Long? = null
    private var failures = 0
    private var stopped = false
    private var isPausing = false
    private var cancelWatch: () -> Unit = {}
    private var watchedMillis: Long? = null
    private var contactMillis: Long? = null

    /** Records that the store has answered another call of this VM. */
    public fun storeAnswered() {
        contactMillis = loop.nowMillis()
    }

    /** Starts the next watch at once if it is still delayed. */
    public fun endPause() {
        if (!isPausing) return
        cancelWatch()
        isPausing = false
        watchNow()
    }

    /** Starts watching. */
    public fun start(): Unit = read()

    /** Stops watching. */
    public fun stop() {
        stopped = true
        cancelWatch()
    }

    private fun read(collected: List<StoreItem> = emptyList(), firstRevision: Long? = null) {
        if (stopped) return
        store.range(prefix, collected.lastOrNull()?.key) { result ->
            result.fold(
                { retry(::read) },
                { page ->
                    // The pages are not one snapshot: the watch starts at the revision of the first one and repeats
                    // changes that later pages already show.
                    val from = firstRevision ?: page.revision
                    val items = collected + page.items
                    if (page.hasMore && page.items.isNotEmpty()) read(items, from) else replace(items, from)
                },
            )
        }
    }

    private fun replace(items: List<StoreItem>, from: Long) {
        contact()
        val present = items.mapTo(HashSet()) { it.key }
        val gone = known.filter { it !in present }
        known.clear()
        known += present
        revision = from
        items.forEach(::written)
        gone.forEach(::removed)
        guard.run("caught up", listener::caughtUp)
        watch()
    }

    private fun watch() {
        val wait = watchedMillis?.let { it + pauseMillis() - loop.nowMillis() } ?: 0
        isPausing = wait > 0
        if (wait > 0) cancelWatch = loop.schedule(wait, ::watchNow) else watchNow()
    }

    private fun watchNow() {
        val after = revision
        isPausing = false
        if (stopped || after == null) return
        watchedMillis = loop.nowMillis()
        cancelWatch = store.watch(prefix, after, WATCH_WAIT_MILLIS) { result ->
            result.fold(::watchFailed) { changes ->
                contact()
                changes.changes.forEach(::apply)
                revision = changes.revision
                watch()
            }
        }
    }

    private fun watchFailed(failure: StoreFailure) {
        if (failure == StoreFailure.HISTORY_GONE) {
            recorder.event("store.history-gone") { field("prefix", prefix) }
            revision = null
            read()
        } else {
            retry(::watch)
        }
    }

    private fun apply(change: StoreChange) {
        val item = change.item
        if (item != null) {
            known += change.key
            written(item)
        } else {
            known -= change.key
            removed(change.key)
        }
    }

    // An item that cannot be handled must not keep the VM from handling later changes.
    private fun written(item: StoreItem) = guard.run("item ${item.key}") { listener.written(item) }

    private fun removed(key: String) = guard.run("removal of $key") { listener.removed(key) }

    private fun contact() {
        if (failures > 0) {
            recorder.event("store.regained") {
                field("prefix", prefix)
                field("failures", failures)
            }
            listener.regained(contactMillis?.let { loop.nowMillis() - it } ?: 0)
        }
        failures = 0
        contactMillis = loop.nowMillis()
    }

    private fun retry(action: () -> Unit) {
        if (failures++ == 0) recorder.event("store.lost") { field("prefix", prefix) }
        loop.schedule(Backoff.millis(failures, random), action)
    }
}
