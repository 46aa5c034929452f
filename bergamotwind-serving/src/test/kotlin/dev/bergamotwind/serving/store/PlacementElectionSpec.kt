package dev.bergamotwind.serving.store

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.TargetId
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
    private class Line(private val store: FakeStore) : FleetStore by store {
        var isCut = false

        override fun renew(lease: Long, reply: StoreReply<Long>) {
            if (!isCut) store.renew(lease, reply)
        }

        override fun write(write: StoreWrite, reply: StoreReply<Long>) {
            if (!isCut) store.write(write, reply)
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
        private val line = Line(store)
        val lease = VmLease(line, loop, LEASE_MILLIS, random, EventRecorder.None)
        val term = PlacementElection(
            line,
            loop,
            lease,
            ElectionSettings(name, HAND_OVER_MILLIS, isFirstStart),
            { laterStarts },
            random,
            EventRecorder.None,
        )
        private val listener = object : StoreListener {
            override fun written(item: StoreItem) = term.written(item)

            override fun removed(key: String) = term.removed(key)

            override fun caughtUp() = term.caughtUp()

            override fun regained(silentMillis: Long) = Unit
        }
        val follower = StoreWatcher(line, loop, "bergamotwind/placement/", random, EventRecorder.None, listener)

        fun start() {
            follower.start()
            lease.start()
        }

        /** Stops without releasing anything, as a killed process does. */
        fun kill() {
            follower.stop()
            line.isCut = true
        }
    }

    data class FaultCase(val name: String, val strike: (FakeStore) -> Unit, val heal: (FakeStore) -> Unit) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("faults")
    fun `holders never take turns within the hand-over time`(case: FaultCase) {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val random = Random(7)
        val vms = List(3) { Vm("vm-$it", loop, store, random) }
        vms.forEach(Vm::start)
        var lastHolder: Int? = null
        var lastMillis = 0L
        val terms = HashMap<Int, Long>()
        for (step in 0 until 3_000) {
            if (step % 700 == 300) case.strike(store)
            if (step % 700 == 500) case.heal(store)
            loop.advance(10)
            val holders = vms.indices.filter { vms[it].term.term != null }
            assertTrue(holders.size <= 1) { "holders $holders at once" }
            val holder = holders.firstOrNull() ?: continue
            if (lastHolder != null && lastHolder != holder) {
                assertTrue(loop.nowMillis() - lastMillis >= LEASE_MILLIS) {
                    "hand-over after ${loop.nowMillis() - lastMillis} ms"
                }
                assertTrue(vms[holder].term.term!! > terms.values.max()) { "a lower term after a higher one" }
            }
            terms[holder] = vms[holder].term.term!!
            lastHolder = holder
            lastMillis = loop.nowMillis()
        }
        assertTrue(lastHolder != null) { "nobody ever became holder" }
    }

    @Test
    fun `a suspended holder gives no orders when it wakes up after its lease`() {
        val loop = ManualLoop()
        val vm = Vm("vm", loop, FakeStore(loop), Random(1))
        vm.start()
        loop.advance(1_500)
        assertTrue(vm.term.term != null)
        loop.suspendFor(2_500)
        assertEquals(null, vm.term.term)
    }

    @Test
    fun `a holder that is killed and starts again goes on at once, before its earlier lease has ended`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val killed = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        assertTrue(killed.term.term != null)
        killed.kill()
        loop.advance(700)
        val other = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        val again = Vm("vm-1", loop, store, Random(3), isFirstStart = false).also(Vm::start)
        loop.advance(300)
        assertTrue(again.term.term != null)
        assertEquals(null, other.term.term)
    }

    @Test
    fun `after a loss of power the last holder goes on at once although another VM is up before it`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val lost = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        lost.kill()
        loop.advance(LEASE_MILLIS + 500)
        val other = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        loop.advance(250)
        val again = Vm("vm-1", loop, store, Random(3), isFirstStart = false).also(Vm::start)
        loop.advance(500)
        assertTrue(again.term.term != null)
        assertEquals(null, other.term.term)
    }

    @Test
    fun `another VM that follows a killed holder waits for the hand-over time`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val killed = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        killed.kill()
        val other = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        loop.advance(LEASE_MILLIS + HAND_OVER_MILLIS - 600)
        assertEquals(null, other.term.term)
        loop.advance(1_500)
        assertTrue(other.term.term != null)
    }

    @Test
    fun `the VM that has started last follows a holder that stops, as the others may be stopped next`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val stopping = Vm("vm-0", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        val vms = List(3) { Vm("vm-${it + 1}", loop, store, Random(it), laterStarts = 2 - it).also(Vm::start) }
        loop.advance(500)
        stopping.term.release {}
        loop.advance(HAND_OVER_MILLIS + 1_000)
        assertEquals(listOf(false, false, true), vms.map { it.term.term != null })
    }

    data class EndCase(
        val name: String,
        val ages: Map<String, Long>,
        val ofTerm: Long,
        val isOrdering: Boolean,
        val waits: Boolean,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("ends")
    fun `the next holder waits only for what its predecessor may still have done`(case: EndCase) {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val first = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        val next = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        loop.advance(2_500)
        val term = first.term.term!!
        first.term.release {}
        val told = first.term.ended { case.ages.mapKeys { (name, _) -> TargetId(name) } }!!
        next.term.heardEnd(EndedTerm(told.claim + case.ofTerm, told.orderAges))
        loop.advance(500)
        assertEquals(case.isOrdering, next.term.term != null)
        assertTrue((next.term.term ?: Long.MAX_VALUE) > term)
        if (case.isOrdering) assertEquals(case.waits, next.term.readyMillis(TargetId("e1")) > loop.nowMillis())
    }

    @Test
    fun `a holder that has ended its term gives no order under it although its lease is valid again`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val vm = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        val before = vm.term.term!!
        loop.suspendFor(LEASE_MILLIS)
        assertTrue(vm.term.endIfDoubtful())
        repeat(60) {
            loop.advance(50)
            vm.term.endIfDoubtful()
            assertTrue(vm.term.term != before)
        }
        assertTrue(vm.lease.isValid)
        assertTrue(vm.term.term!! > before) { "the VM did not become holder anew" }
    }

    @Test
    fun `a holder that becomes it anew still leaves the engines alone that its predecessor had ordered`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val first = Vm("vm-1", loop, store, Random(1)).also(Vm::start)
        loop.advance(500)
        val next = Vm("vm-2", loop, store, Random(2), isFirstStart = false).also(Vm::start)
        loop.advance(2_500)
        first.term.release {}
        next.term.heardEnd(first.term.ended { mapOf(TargetId("e1") to 0L) }!!)
        loop.advance(500)
        val before = next.term.term!!
        val ready = next.term.readyMillis(TargetId("e1"))
        loop.suspendFor(LEASE_MILLIS)
        assertTrue(next.term.endIfDoubtful())
        repeat(40) {
            loop.advance(50)
            next.term.endIfDoubtful()
        }
        assertTrue(next.term.term!! > before)
        assertEquals(ready, next.term.readyMillis(TargetId("e1")))
    }

    @Test
    fun `a VM that loses its lease while it waits for the hand-over time goes on waiting`() {
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
        assertEquals(null, other.term.term)
        loop.advance(HAND_OVER_MILLIS)
        assertTrue(other.term.term != null)
    }

    @Test
    fun `what a predecessor told goes on to the next holder`() {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val vms = List(3) { Vm("vm-$it", loop, store, Random(it), isFirstStart = it == 0) }
        vms[0].start()
        loop.advance(500)
        vms[1].start()
        loop.advance(2_500)
        vms[0].term.release {}
        vms[1].term.heardEnd(vms[0].term.ended { mapOf(TargetId("e1") to 0L) }!!)
        loop.advance(500)
        assertTrue(vms[1].term.term != null)
        vms[1].term.release {}
        val told = vms[1].term.ended { emptyMap() }!!
        assertTrue((told.orderAges[TargetId("e1")] ?: HAND_OVER_MILLIS) in 400..600) { "$told" }
    }

    companion object {
        @JvmStatic
        fun ends() = listOf(
            EndCase("nothing ordered lately", emptyMap(), 0, isOrdering = true, waits = false),
            EndCase("an order just before", mapOf("e1" to 10L), 0, isOrdering = true, waits = true),
            EndCase("another engine", mapOf("e2" to 10L), 0, isOrdering = true, waits = false),
            EndCase("an order long before", mapOf("e1" to 3_000L), 0, isOrdering = true, waits = false),
            EndCase("an earlier term", emptyMap(), -1, isOrdering = false, waits = true),
        )

        private const val LEASE_MILLIS = 3_000L
        private const val HAND_OVER_MILLIS = 3_200L

        @JvmStatic
        fun faults() = listOf(
            FaultCase("no fault", {}, {}),
            FaultCase("the store is away", { it.failure = StoreFailure.REFUSED }, { it.failure = null }),
            FaultCase("no answers", { it.losesAnswers = true }, { it.losesAnswers = false }),
            FaultCase("the history is forgotten", { it.forgetHistory() }, {}),
            FaultCase("a lease ends early", { store ->
                store.items.values.firstOrNull()?.let { store.expire(it.lease) }
            }, {}),
        )
    }
}
