package dev.bergamotwind.serving.store

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.FakeStore
import dev.bergamotwind.serving.ManualLoop
import dev.bergamotwind.serving.placement.PlacementTerm
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/** Guards against two holders of orders within the hand-over time, whatever happens to the store, leases and clocks. */
class PlacementTermSpec {
    private class Vm(name: String, val loop: ManualLoop, store: FakeStore, random: Random) {
        val lease = VmLease(store, loop, LEASE_MILLIS, random, EventRecorder.None)
        val term = PlacementTerm(store, loop, lease, VmId(name), HAND_OVER_MILLIS, true, random, EventRecorder.None)
        private val listener = object : StoreListener {
            override fun written(item: StoreItem) = term.written(item)

            override fun removed(key: String) = term.vacant()

            override fun caughtUp() = term.caughtUp()

            override fun regained(silentMillis: Long) = Unit
        }
        val follower = StoreFollower(store, loop, "bergamotwind/placement/", random, EventRecorder.None, listener)

        fun start() {
            follower.start()
            lease.start()
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

    companion object {
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
