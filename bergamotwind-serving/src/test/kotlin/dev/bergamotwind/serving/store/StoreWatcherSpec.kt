package dev.bergamotwind.serving.store

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.serving.EraReportingStore
import dev.bergamotwind.serving.FakeStore
import dev.bergamotwind.serving.ManualLoop
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/**
 * Tests that the number of calls to the store does not grow with the number of changes, and that changes arrive in
 * time.
 */
class StoreWatcherSpec {
    /** A store that answers nothing while it is silent; a call made then is never answered. */
    private class SilencedStore(store: FakeStore) : EraReportingStore(store) {
        var isSilent = false

        /** Thrown by the next call named [failingCall]. */
        var failure: Throwable? = null
        var failingCall = ""

        private fun failOnce(call: String) {
            val thrown = failure
            if (call != failingCall || thrown == null) return
            failure = null
            throw thrown
        }

        override fun readRange(prefix: String, after: String?, reply: StoreReply<StorePage>) {
            failOnce("read")
            super.readRange(prefix, after, reply)
        }

        override fun renewLease(lease: Long, reply: StoreReply<Long>) {
            failOnce("renew")
            super.renewLease(lease, reply)
        }

        override fun watch(prefix: String, after: Long, waitMillis: Long, reply: StoreReply<StoreChanges>): () -> Unit {
            failOnce("watch")
            return if (isSilent) ({}) else super.watch(prefix, after, waitMillis) { if (!isSilent) reply(it) }
        }
    }

    private class Fixture(var pauseMillis: Long) {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val silencedStore = SilencedStore(store)
        val seenAtMillis = HashMap<String, Long>()
        var reportedOutageMillis = 0L
        var syncs = 0

        /** Called at each step of the listener with its name and the item's value or key. */
        var onStep: (String, String) -> Unit = { _, _ -> }
        private val listener = object : StoreListener {
            override fun onItemWritten(item: StoreItem) {
                onStep("written", item.value.decodeToString())
                seenAtMillis[item.value.decodeToString()] = loop.nowMillis()
            }

            override fun onKeyRemoved(key: String) = onStep("removed", key)

            override fun onKeyLost(key: String) = onStep("lost", key)

            override fun onSynced() {
                syncs++
                onStep("synced", "")
            }

            override fun onStoreRecovered(outageMillis: Long) {
                onStep("recovered", "")
                reportedOutageMillis = maxOf(reportedOutageMillis, outageMillis)
            }
        }
        val watcher = StoreWatcher(silencedStore, loop, "", Random(1), EventRecorder.None, listener) { pauseMillis }
        val lease = VmLease(silencedStore, loop, timeToLiveMillis = 2_000, Random(1), EventRecorder.None).also {
            it.onRenewed = watcher::recordContact
            it.onRecovered = watcher::onStoreAnswersAgain
        }
        val eras = StoreEraTracker(EventRecorder.None).also {
            silencedStore.onEra = it::accept
            it.addListener(watcher::onNewEra)
        }
    }

    @Test
    fun `many changes cost one call for each pause, and each is seen within it`() {
        val fixture = Fixture(pauseMillis = 1_000)
        fixture.watcher.start()
        fixture.loop.advance(100)
        fixture.store.calls = 0
        val writtenAtMillis = HashMap<String, Long>()
        repeat(100) { number ->
            fixture.store.put("targets/${number % 7}", "$number".toByteArray())
            writtenAtMillis["$number"] = fixture.loop.nowMillis()
            fixture.loop.advance(100)
        }
        fixture.loop.advance(1_100)
        assertTrue(fixture.store.calls <= 12) { "${fixture.store.calls} calls in eleven seconds" }
        val latest = writtenAtMillis.filterKeys { it.toInt() >= 93 }
        for ((number, time) in latest) {
            assertTrue((fixture.seenAtMillis[number] ?: Long.MAX_VALUE) - time <= 1_010) { "$number came too late" }
        }
    }

    @Test
    fun `without a pause every change is seen at once`() {
        val fixture = Fixture(pauseMillis = 0)
        fixture.watcher.start()
        fixture.loop.advance(100)
        fixture.store.put("a", "1".toByteArray())
        fixture.loop.advance(5)
        fixture.store.put("a", "2".toByteArray())
        fixture.loop.advance(5)
        assertEquals(setOf("1", "2"), fixture.seenAtMillis.keys)
    }

    data class FailedStepCase(val step: String, val failure: Throwable) {
        override fun toString() = "$step: ${failure.javaClass.simpleName}"
    }

    // Guards against a watch that ends for good, so that no later configuration is ever applied.
    @ParameterizedTest
    @MethodSource("failedSteps")
    fun `the watch goes on after a step that failed`(case: FailedStepCase) {
        val fixture = Fixture(pauseMillis = 0)
        fixture.store.put("a", "before".toByteArray())
        fixture.store.put("b", "removed later".toByteArray())
        fixture.onStep = { step, value ->
            if (step == case.step && (step != "written" || value == "odd")) throw case.failure
        }
        fixture.store.put("odd", "odd".toByteArray())
        fixture.watcher.start()
        fixture.lease.start()
        fixture.loop.advance(500)
        fixture.store.put("odd", "odd".toByteArray())
        fixture.store.remove("b")
        fixture.loop.advance(500)
        fixture.store.failure = StoreFailure.UNKNOWN
        fixture.store.failWatches()
        fixture.loop.advance(1_500)
        fixture.store.failure = null
        fixture.loop.advance(1_500)
        fixture.store.compactHistory()
        fixture.loop.advance(500)
        fixture.store.put("a", "after".toByteArray())
        fixture.loop.advance(100)
        assertTrue("after" in fixture.seenAtMillis) { "${fixture.seenAtMillis}" }
        assertTrue(fixture.syncs >= 2) { "read ${fixture.syncs} times" }
        assertTrue(fixture.lease.isValid) { "the lease is not renewed" }
    }

    // Guards against a call that cannot be made, for want of memory or descriptors, and is never made again.
    @ParameterizedTest
    @CsvSource("read, 0", "read, 300", "watch, 0", "watch, 1000", "renew, 0", "renew, 1000")
    fun `the watch and the lease go on after a call that could not be made`(call: String, pauseMillis: Long) {
        for (failure in listOf(IllegalStateException(), StackOverflowError())) {
            val fixture = Fixture(pauseMillis)
            fixture.silencedStore.failingCall = call
            fixture.silencedStore.failure = failure
            fixture.watcher.start()
            fixture.lease.start()
            fixture.loop.advance(4_000)
            fixture.silencedStore.failure = failure
            fixture.store.compactHistory()
            fixture.loop.advance(4_000)
            fixture.store.put("a", "after".toByteArray())
            fixture.loop.advance(2_000)
            assertEquals(null, fixture.silencedStore.failure) { "the call was not made" }
            assertTrue("after" in fixture.seenAtMillis) { "${fixture.seenAtMillis}" }
            assertTrue(fixture.lease.isValid) { "the lease is not renewed" }
        }
    }

    // Guards against items that fill the heap while all of them are read: each may have a megabyte.
    @Test
    fun `items are handled page by page, and none is taken for removed`() {
        val fixture = Fixture(pauseMillis = 0)
        val handledBeforePage = mutableListOf<Int>()
        val removed = mutableListOf<String>()
        fixture.store.pageSize = 10
        fixture.store.onPage = { handledBeforePage += fixture.seenAtMillis.size }
        fixture.onStep = { step, key -> if (step == "removed") removed += key }
        repeat(35) { fixture.store.put("key-${it + 10}", "$it".toByteArray()) }
        fixture.watcher.start()
        fixture.loop.advance(100)
        assertEquals(listOf(0, 10, 20, 30), handledBeforePage)
        assertEquals(35, fixture.seenAtMillis.size)
        fixture.store.remove("key-17")
        fixture.store.compactHistory()
        fixture.loop.advance(100)
        assertEquals(listOf("key-17"), removed)
    }

    data class ReturnCase(val writesAfter: Int, val pauseMillis: Long, val isSilent: Boolean)

    // Guards against a watch that goes on from a revision which the store has given out again.
    @ParameterizedTest
    @MethodSource("returns")
    fun `what is written after the store has returned from an older copy is seen`(case: ReturnCase) {
        val fixture = Fixture(case.pauseMillis)
        val steps = mutableListOf<Pair<String, String>>()
        fixture.store.nameEra()
        fixture.store.put("config", "1".toByteArray())
        fixture.store.put("kept", "kept".toByteArray())
        fixture.watcher.start()
        fixture.lease.start()
        fixture.loop.advance(1_000)
        val copy = fixture.store.copy()
        repeat(10) { fixture.store.put("lost-$it", "lost-$it".toByteArray()) }
        fixture.store.remove("kept")
        fixture.loop.advance(2_000)
        fixture.onStep = { step, what -> steps += step to what }
        fixture.silencedStore.isSilent = case.isSilent
        fixture.store.restore(copy)
        repeat(case.writesAfter) { fixture.store.put("other-$it", "other-$it".toByteArray()) }
        fixture.store.put("config", "2".toByteArray())
        fixture.silencedStore.isSilent = false
        fixture.loop.advance(2_500)
        assertTrue("written" to "2" in steps) { "$steps" }
        assertTrue("written" to "kept" in steps)
        assertEquals(
            (0 until 10).map {
                "lost" to "lost-$it"
            },
            steps.filter { it.first == "lost" }.sortedBy { it.second },
        )
        assertEquals(emptyList<Any>(), steps.filter { it.first == "removed" })
        val calls = fixture.store.calls
        fixture.loop.advance(10_000)
        assertTrue(fixture.store.calls - calls < 30) { "${fixture.store.calls - calls} calls in 10 s" }
        fixture.store.put("config", "3".toByteArray())
        fixture.loop.advance(case.pauseMillis + 50)
        assertTrue("written" to "3" in steps)
    }

    @Test
    fun `a configuration written after a silent outage of the store is seen although the watch was lost`() {
        val fixture = Fixture(pauseMillis = 0)
        fixture.watcher.start()
        fixture.lease.start()
        fixture.loop.advance(1_000)
        fixture.silencedStore.isSilent = true
        fixture.store.failure = StoreFailure.UNKNOWN
        fixture.store.failWatches()
        fixture.store.put("a", "lost".toByteArray())
        fixture.loop.advance(4_500)
        fixture.silencedStore.isSilent = false
        fixture.store.failure = null
        fixture.store.put("a", "written after the outage".toByteArray())
        val writtenMillis = fixture.loop.nowMillis()
        fixture.loop.advance(2_500)
        val seenMillis = fixture.seenAtMillis["written after the outage"] ?: Long.MAX_VALUE
        assertTrue(seenMillis - writtenMillis < 2_500) { "${fixture.seenAtMillis}" }
        assertTrue(fixture.reportedOutageMillis >= 4_000) { "reported ${fixture.reportedOutageMillis} ms" }
    }

    companion object {
        @JvmStatic
        fun returns() = listOf(0, 5, 11, 40, 400).flatMap { writes ->
            listOf(ReturnCase(writes, 0, false), ReturnCase(writes, 400, false), ReturnCase(writes, 400, true))
        }

        @JvmStatic
        fun failedSteps(): List<FailedStepCase> = listOf("written", "removed", "synced", "recovered").flatMap { step ->
            listOf(IllegalStateException(), StackOverflowError(), OutOfMemoryError()).map { FailedStepCase(step, it) }
        }
    }
}
