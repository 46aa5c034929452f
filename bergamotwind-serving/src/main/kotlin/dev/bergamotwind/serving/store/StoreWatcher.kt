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
    private val knownKeys = HashSet<String>()
    private var revision: Long? = null
    private var failures = 0
    private var isStopped = false
    private var isPausing = false
    private var isWatchPending = false
    private var cancelWatch: () -> Unit = {}
    private var cancelRetry: () -> Unit = {}

    /** Number of new eras; answers to calls that were made before the latest one are not used. */
    private var eraCount = 0

    /** True until all items of a new era have been read. */
    private var isReadingNewEra = false
    private var watchStartedMillis: Long? = null
    private var lastContactMillis: Long? = null

    /** True when the latest call has failed and is being retried. */
    internal val hasFailed: Boolean get() = failures > 0

    /** Records that the store has answered another call of this VM. */
    public fun recordContact() {
        lastContactMillis = loop.nowMillis()
    }

    /** Starts the next watch at once if it is still delayed. */
    public fun watchImmediately() {
        if (!isPausing) return
        cancelWatch()
        isPausing = false
        orReadAgain("watch", ::startWatch)
    }

    /**
     * Reports that the store has answered another call after an outage, and starts the pending watch again: the store
     * may have lost it without closing its connection, and its time-out would delay changes for seconds.
     */
    public fun onStoreAnswersAgain() {
        if (isStopped) return
        notifyRecovered()
        if (!isWatchPending) return
        cancelWatch()
        orReadAgain("watch", ::startWatch)
    }

    /**
     * Reads all items again, because the store has returned from an older copy: the revision reached belongs to an
     * earlier era, and the store may have given it out again.
     */
    public fun onNewEra() {
        if (isStopped) return
        eraCount++
        cancelWatch()
        cancelRetry()
        isPausing = false
        isWatchPending = false
        isReadingNewEra = true
        revision = null
        orReadAgain("items of a new era", ::readAll)
    }

    /** Starts watching. */
    public fun start(): Unit = orReadAgain("start", ::readAll)

    /** Stops watching. */
    public fun stop() {
        isStopped = true
        cancelWatch()
    }

    private fun readAll(): Unit = readPage(ReadProgress())

    private fun readPage(progress: ReadProgress) {
        if (isStopped) return
        val era = eraCount
        store.readRange(prefix, progress.lastKey) { result ->
            if (era != eraCount) return@readRange
            orReadAgain("page of items") {
                result.fold({ scheduleRetry(::readAll) }) { page -> applyPage(page, progress) }
            }
        }
    }

    // Each page is applied as it arrives: all items together may be larger than the memory of this process.
    private fun applyPage(page: StorePage, progress: ReadProgress) {
        if (isStopped) return
        onContact()
        // The pages are not one snapshot: the watch starts at the revision of the first one and repeats changes that
        // later pages already show.
        val from = progress.revision ?: page.revision
        progress.revision = from
        for (item in page.items) {
            progress.presentKeys += item.key
            progress.lastKey = item.key
            knownKeys += item.key
            notifyWritten(item)
        }
        if (page.hasMore && page.items.isNotEmpty()) return readPage(progress)
        val removedKeys = knownKeys.filter { it !in progress.presentKeys }
        knownKeys -= removedKeys.toSet()
        revision = from
        removedKeys.forEach(::notifyRemoved)
        isReadingNewEra = false
        guard.runIsolated("caught up", listener::onSynced)
        scheduleWatch()
    }

    private fun scheduleWatch() {
        val wait = watchStartedMillis?.let { it + pauseMillis() - loop.nowMillis() } ?: 0
        isPausing = wait > 0
        if (wait > 0) {
            cancelWatch = loop.schedule(wait) { orReadAgain("watch", ::startWatch) }
        } else {
            startWatch()
        }
    }

    private fun startWatch() {
        val after = revision
        isPausing = false
        if (isStopped || after == null) return
        watchStartedMillis = loop.nowMillis()
        isWatchPending = true
        val era = eraCount
        cancelWatch = store.watch(prefix, after, WATCH_TIMEOUT_MILLIS) { result ->
            if (era != eraCount) return@watch
            isWatchPending = false
            orReadAgain("changes") {
                result.fold(::onWatchFailed) { changes ->
                    onContact()
                    changes.changes.forEach(::applyChange)
                    revision = changes.revision
                    scheduleWatch()
                }
            }
        }
    }

    // Each step plans the next one; one that fails must not be the last.
    private fun orReadAgain(step: String, action: () -> Unit): Unit =
        guard.runOrElse(step, remedy = { scheduleRetry(::readAll) }, action)

    /** Items read so far while all of them are read page by page. */
    private class ReadProgress {
        val presentKeys = HashSet<String>()
        var revision: Long? = null
        var lastKey: String? = null
    }

    private fun onWatchFailed(failure: StoreFailure) {
        if (failure == StoreFailure.HISTORY_GONE) {
            recorder.event("store.history-gone") { field("prefix", prefix) }
            revision = null
            readAll()
        } else {
            scheduleRetry(::scheduleWatch)
        }
    }

    private fun applyChange(change: StoreChange) {
        val item = change.item
        if (item != null) {
            knownKeys += change.key
            notifyWritten(item)
        } else {
            knownKeys -= change.key
            notifyRemoved(change.key)
        }
    }

    // An item that cannot be handled must not keep the VM from handling later changes, nor end the watch.
    private fun notifyWritten(item: StoreItem) = guard.runIsolated("item ${item.key}") { listener.onItemWritten(item) }

    private fun notifyRemoved(key: String) = guard.runIsolated("removal of $key") {
        if (isReadingNewEra) listener.onKeyLost(key) else listener.onKeyRemoved(key)
    }

    private fun notifyRecovered() {
        val outageMillis = lastContactMillis?.let { loop.nowMillis() - it } ?: 0
        guard.runIsolated("recovery of the store") { listener.onStoreRecovered(outageMillis) }
    }

    private fun onContact() {
        if (failures > 0) {
            recorder.event("store.regained") {
                field("prefix", prefix)
                field("failures", failures)
            }
            notifyRecovered()
        }
        failures = 0
        lastContactMillis = loop.nowMillis()
    }

    private fun scheduleRetry(action: () -> Unit) {
        if (failures++ == 0) recorder.event("store.lost") { field("prefix", prefix) }
        cancelRetry = loop.schedule(Backoff.delayMillis(failures, random)) { orReadAgain("retry", action) }
    }
}
