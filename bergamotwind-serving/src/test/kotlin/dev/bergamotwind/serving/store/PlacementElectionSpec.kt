package dev.bergamotwind.serving.store

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.EraReportingStore
import dev.bergamotwind.serving.FakeStore
import dev.bergamotwind.serving.ManualLoop
import dev.bergamotwind.serving.peer.EndedTerm
import dev.bergamotwind.serving.placement.ElectionSettings
import dev.bergamotwind.serving.placement.PlacementElection
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/**
 * Tests that no two VMs are the placement holder within the hand-over time, whatever fails in the store, leases and
 * clocks.
 */
class PlacementElectionSpec {
    /** The connection of one VM to the store, which breaks when its process is killed. */
    private class BreakableStore(store: FakeStore) : EraReportingStore(store) {
        var isBroken = false

        override fun renewLease(lease: Long, reply: StoreReply<Long>) {
            if (!isBroken) super.renewLease(lease, reply)
        }

        override fun write(write: StoreWrite, reply: StoreReply<Long>) {
            if (!isBroken) super.write(write, reply)
        }
    }

    private class Vm(
        name: String,
        val loop: ManualLoop,
        store: FakeStore,
        random: Random,
        isFirstStart: Boolean = true,
        laterStarts: Int = 0,
    ) {
        private val breakableStore = BreakableStore(store)
        val lease = VmLease(breakableStore, loop, LEASE_MILLIS, random, EventRecorder.None)
        val election = PlacementElection(
            breakableStore,
            loop,
            lease,
            ElectionSettings(name, HAND_OVER_MILLIS, LEASE_MILLIS, isFirstStart),
            { laterStarts },
            random,
            EventRecorder.None,
        )
        private val listener = object : StoreListener {
            override fun onItemWritten(item: StoreItem) = election.onItemWritten(item)

            override fun onKeyRemoved(key: String) = election.onKeyRemoved(key)

            override fun onKeyLost(key: String) = election.onKeyRemoved(key)

            override fun onSynced() = election.onSynced()

            override fun onStoreRecovered(outageMillis: Long) = Unit
        }
        val watcher =
            StoreWatcher(breakableStore, loop, "bergamotwind/placement/", random, EventRecorder.None, listener)

        fun start() {
            watcher.start()
            lease.start()
        }

        /** Stops without releasing anything, as a killed process does. */
        fun kill() {
            watcher.stop()
            breakableStore.isBroken = true
        }
    }

    data class FaultCase(val name: String, val inject: (FakeStore) -> Unit, val clear: (FakeStore) -> Unit) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("faults")
    fun `the holder never changes within the lease time, and terms increase`(case: FaultCase) {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val random = Random(7)
        val vms = List(3) { Vm("vm-$it", loop, store, random) }
        vms.forEach(Vm::start)
        var lastHolder: Int? = null
        var lastMillis = 0L
        val terms = HashMap<Int, Long>()
        for (step in 0 until 3_000) {
            if (step % 700 == 300) case.inject(store)
            if (step % 700 == 500) case.clear(store)
            loop.advance(10)
            val holders = vms.indices.filter { vms[it].election.term != null }
            assertTrue(holders.size <= 1) { "holders $holders at once" }
            val holder = holders.firstOrNull() ?: continue
            if (lastHolder != null && lastHolder != holder) {
                assertTrue(loop.nowMillis() - lastMillis >= LEASE_MILLIS) {
                    "hand-over after ${loop.nowMillis() - lastMillis} ms"
                }
                assertTrue(vms[holder].election.term!! > terms.values.max()) { "a lower term after a higher one" }
            }
            terms[holder] = vms[holder].election.term!!
            lastHolder = holder
            lastMillis = loop.nowMillis()
        }
        assertTrue(lastHolder != null) { "nobody ever became holder" }
    }

    @Test
    fun `a suspended holder has no term when it resumes after its lease has expired`() {
        val loop = ManualLoop()
        val vm = Vm("vm", loop, FakeStore(loop), Random(1))
        vm.start()
        loop.advance(1_500)
        assertTrue(vm.election.term != null)
        loop.suspendFor(2_500)
        assertEquals(null, vm.election.term)
    }

    @Test
    fun `a killed holder that restarts becomes the holder at once, before its earlier lease has expired`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val killed = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        assertTrue(killed.election.term != null)
        killed.kill()
        loop.advance(700)
        val other = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        val restarted = Vm("vm-1", loop, store, Random(3), isFirstStart = false).also(Vm::start)
        loop.advance(300)
        assertTrue(restarted.election.term != null)
        assertEquals(null, other.election.term)
    }

    @Test
    fun `after a power failure the last holder is elected at once although another VM starts before it`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val crashed = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        crashed.kill()
        loop.advance(LEASE_MILLIS + 500)
        val other = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        loop.advance(250)
        val restarted = Vm("vm-1", loop, store, Random(3), isFirstStart = false).also(Vm::start)
        loop.advance(500)
        assertTrue(restarted.election.term != null)
        assertEquals(null, other.election.term)
    }

    @Test
    fun `another VM that succeeds a killed holder waits for the hand-over time`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val killed = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        killed.kill()
        val other = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        loop.advance(LEASE_MILLIS + HAND_OVER_MILLIS - 600)
        assertEquals(null, other.election.term)
        loop.advance(1_500)
        assertTrue(other.election.term != null)
    }

    @Test
    fun `the VM that has started last succeeds a stopping holder`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val stopping = Vm("vm-0", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        val vms = List(3) { Vm("vm-${it + 1}", loop, store, Random(it), laterStarts = 2 - it).also(Vm::start) }
        loop.advance(500)
        stopping.election.release {}
        loop.advance(HAND_OVER_MILLIS + 1_000)
        assertEquals(listOf(false, false, true), vms.map { it.election.term != null })
    }

    data class TermEndCase(
        val name: String,
        val orderAges: Map<String, Long>,
        val claimOffset: Long,
        val isHolder: Boolean,
        val waitsForEngine: Boolean,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("termEnds")
    fun `the next holder waits only for engines that its predecessor has recently ordered`(case: TermEndCase) {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val first = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        val next = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        loop.advance(2_500)
        val term = first.election.term!!
        first.election.release {}
        val announcement = first.election.endedTermAnnouncement {
            case.orderAges.mapKeys { (name, _) -> TargetId(name) }
        }!!
        next.election.onTermEndAnnounced(EndedTerm(announcement.claimId + case.claimOffset, announcement.orderAges))
        loop.advance(500)
        assertEquals(case.isHolder, next.election.term != null)
        assertTrue((next.election.term ?: Long.MAX_VALUE) > term)
        if (case.isHolder) {
            assertEquals(
                case.waitsForEngine,
                next.election.earliestOrderMillis(TargetId("e1")) > loop.nowMillis(),
            )
        }
    }

    @Test
    fun `a holder that has ended its term does not resume it when its lease is valid again`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val vm = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        val before = vm.election.term!!
        loop.suspendFor(LEASE_MILLIS)
        assertTrue(vm.election.endTermIfLeaseInvalid())
        repeat(60) {
            loop.advance(50)
            vm.election.endTermIfLeaseInvalid()
            assertTrue(vm.election.term != before)
        }
        assertTrue(vm.lease.isValid)
        assertTrue(vm.election.term!! > before) { "the VM was not elected again" }
    }

    @Test
    fun `a holder that is elected again still waits for the engines that its predecessor ordered`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val first = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        val next = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        loop.advance(2_500)
        first.election.release {}
        next.election.onTermEndAnnounced(first.election.endedTermAnnouncement { mapOf(TargetId("e1") to 0L) }!!)
        loop.advance(500)
        val before = next.election.term!!
        val earliest = next.election.earliestOrderMillis(TargetId("e1"))
        loop.suspendFor(LEASE_MILLIS)
        assertTrue(next.election.endTermIfLeaseInvalid())
        repeat(40) {
            loop.advance(50)
            next.election.endTermIfLeaseInvalid()
        }
        assertTrue(next.election.term!! > before)
        assertEquals(earliest, next.election.earliestOrderMillis(TargetId("e1")))
    }

    @Test
    fun `a VM that loses its lease during the hand-over time keeps waiting`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val killed = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        val other = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        loop.advance(2_500)
        killed.kill()
        loop.advance(LEASE_MILLIS + 500)
        store.expire(other.lease.id!!)
        loop.advance(1_500)
        assertTrue(other.lease.isValid)
        assertEquals(null, other.election.term)
        loop.advance(HAND_OVER_MILLIS)
        assertTrue(other.election.term != null)
    }

    /** Restarts a VM that succeeded a killed holder and was itself killed [afterMillis] after that. */
    private fun restartedSuccessor(loop: ManualLoop, afterMillis: Long): Vm {
        val store = FakeStore(loop)
        val first = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        val successor = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        loop.advance(500)
        first.kill()
        loop.advance(afterMillis)
        assertTrue(store.items.getValue(PlacementElection.HOLDER_KEY).value.decodeToString().startsWith("vm-2"))
        successor.kill()
        loop.advance(300)
        return Vm("vm-2", loop, store, Random(3), isFirstStart = false).also(Vm::start)
    }

    @Test
    fun `a VM that is killed during the hand-over time waits again after its restart`() {
        val loop = ManualLoop()
        val restarted = restartedSuccessor(loop, afterMillis = LEASE_MILLIS + 500)
        loop.advance(HAND_OVER_MILLIS)
        assertEquals(null, restarted.election.term)
        loop.advance(1_000)
        assertTrue(restarted.election.term != null)
    }

    @Test
    fun `a VM that is killed after the hand-over time goes on at once after its restart`() {
        val loop = ManualLoop()
        val restarted = restartedSuccessor(loop, afterMillis = LEASE_MILLIS + HAND_OVER_MILLIS + 2_000)
        loop.advance(500)
        assertTrue(restarted.election.term != null)
    }

    // Guards against the next holder that orders engines which the killed process of its predecessor has just ordered.
    @Test
    fun `the orders of a killed process are passed on by the next process of its VM`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val killed = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        val next = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        loop.advance(2_500)
        killed.kill()
        val killedMillis = loop.nowMillis()
        loop.advance(500)
        val restarted = Vm("vm-1", loop, store, Random(3), isFirstStart = false).also(Vm::start)
        loop.advance(300)
        assertTrue(restarted.election.term != null)
        restarted.election.release {}
        val ages = mapOf(TargetId("e1") to 50L)
        next.election.onTermEndAnnounced(restarted.election.endedTermAnnouncement { ages }!!)
        val announcedMillis = loop.nowMillis()
        loop.advance(500)
        assertTrue(next.election.term != null) { "the next holder waits for all engines" }
        assertEquals(announcedMillis + HAND_OVER_MILLIS - 50, next.election.earliestOrderMillis(TargetId("e1")))
        val earliestMillis = next.election.earliestOrderMillis(TargetId("e2"))
        assertTrue(earliestMillis - killedMillis >= HAND_OVER_MILLIS) { "${earliestMillis - killedMillis} ms" }
        next.election.release {}
        val passedOn = next.election.endedTermAnnouncement { emptyMap() }!!
        assertEquals(HAND_OVER_MILLIS - (earliestMillis - loop.nowMillis()), passedOn.otherOrdersAge)
        loop.advance(HAND_OVER_MILLIS)
        assertEquals(null, next.election.endedTermAnnouncement { emptyMap() }!!.otherOrdersAge)
    }

    // Guards against a VM that is cut off from the store at its first start and succeeds a holder without a wait.
    @Test
    fun `a VM that first reaches the store after a holder has left waits for the hand-over time`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val first = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(1_000)
        assertTrue(first.election.term != null)
        first.election.release {}
        loop.advance(200)
        val late = Vm("vm-2", loop, store, Random(2), isFirstStart = true).also(Vm::start)
        loop.advance(2_500)
        assertTrue(store.items.getValue(PlacementElection.HOLDER_KEY).value.decodeToString().startsWith("vm-2"))
        assertEquals(null, late.election.term)
        loop.advance(HAND_OVER_MILLIS)
        assertTrue(late.election.term != null)
    }

    @Test
    fun `a predecessor's order ages are passed on to the next holder`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val vms = List(3) { Vm("vm-$it", loop, store, Random(it), isFirstStart = it == 0) }
        vms[0].start()
        loop.advance(500)
        vms[1].start()
        loop.advance(2_500)
        vms[0].election.release {}
        vms[1].election.onTermEndAnnounced(vms[0].election.endedTermAnnouncement { mapOf(TargetId("e1") to 0L) }!!)
        loop.advance(500)
        assertTrue(vms[1].election.term != null)
        vms[1].election.release {}
        val announcement = vms[1].election.endedTermAnnouncement { emptyMap() }!!
        assertTrue((announcement.orderAges[TargetId("e1")] ?: HAND_OVER_MILLIS) in 400..600) { "$announcement" }
    }

    companion object {
        @JvmStatic
        fun termEnds() = listOf(
            TermEndCase("no recent order", emptyMap(), 0, isHolder = true, waitsForEngine = false),
            TermEndCase("an order shortly before", mapOf("e1" to 10L), 0, isHolder = true, waitsForEngine = true),
            TermEndCase("an order to another engine", mapOf("e2" to 10L), 0, isHolder = true, waitsForEngine = false),
            TermEndCase("an order long before", mapOf("e1" to 3_000L), 0, isHolder = true, waitsForEngine = false),
            TermEndCase("an earlier term", emptyMap(), -1, isHolder = false, waitsForEngine = true),
        )

        private const val LEASE_MILLIS = 3_000L
        private const val HAND_OVER_MILLIS = 3_200L

        @JvmStatic
        fun faults() = listOf(
            FaultCase("no fault", {}, {}),
            FaultCase("the store is unavailable", { it.failure = StoreFailure.REFUSED }, { it.failure = null }),
            FaultCase("answers are lost", { it.losesAnswers = true }, { it.losesAnswers = false }),
            FaultCase("the history is compacted", { it.compactHistory() }, {}),
            FaultCase("a lease expires early", { store ->
                store.items.values.firstOrNull()?.let { store.expire(it.lease) }
            }, {}),
        )
    }
}
