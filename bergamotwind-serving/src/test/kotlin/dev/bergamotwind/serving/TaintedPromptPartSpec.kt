package dev.bergamotwind.serving

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Tests a fleet of VMs whose callers send requests with a prompt part that crashes each engine that answers them. */
class TaintedPromptPartSpec {
    private class Sent(val atMillis: Long, val isDeadly: Boolean, val exchange: FakeExchange)

    /** Sends ten requests a second, one in [deadlyEvery] of them with one of the fleet's deadly parts. */
    private class Load(val fleet: EngineFleet, val deadlyEvery: Int = 7, val subjects: Int = 20) {
        val sent = mutableListOf<Sent>()
        private var step = 0

        fun run(seconds: Int, deadly: List<Long> = fleet.deadlyParts.toList(), eachSecond: (Int) -> Unit = {}) {
            repeat(seconds * REQUESTS_PER_SECOND) {
                if (step % REQUESTS_PER_SECOND == 0) eachSecond(step / REQUESTS_PER_SECOND)
                val part = deadly.takeIf { it.isNotEmpty() && step % deadlyEvery == 0 }?.let { it[step % it.size] }
                val parts = listOfNotNull(COMMON, part, SUBJECTS + step % subjects, OWN + step)
                val exchange = fleet.serve(step % fleet.vmCount, "r$step", *parts.toLongArray())
                sent += Sent(fleet.loop.nowMillis(), part != null, exchange)
                step++
                fleet.loop.advance(1_000L / REQUESTS_PER_SECOND)
            }
        }

        fun soundSince(millis: Long) = sent.filter { !it.isDeadly && it.atMillis >= millis }
    }

    data class DeadlyCase(
        val name: String,
        val parts: Set<Long> = setOf(DEADLY),
        val deadlyEvery: Int = 7,
        val subjects: Int = 20,
        val cutOffVm: String? = null,
        /** Slot of the engine that crashes for another cause in each fourth second, or null. */
        val crashingSlot: ((Int) -> Int)? = null,
    ) {
        override fun toString() = name
    }

    // Guards against engines that crash one after the other, because each request with the part is sent to an engine,
    // and against refusing sound requests that share the other parts with it.
    @ParameterizedTest
    @MethodSource("deadlyCases")
    fun `few requests that crash engines reach them after five crashes, and sound ones are served, with`(
        case: DeadlyCase,
    ) {
        val fleet = EngineFleet(vmCount = 6, engineCount = 12)
        fleet.deadlyParts += case.parts
        case.cutOffVm?.let { fleet.unreachableVms += it }
        val load = Load(fleet, case.deadlyEvery, case.subjects)
        load.run(seconds = 40) { second ->
            case.crashingSlot?.takeIf { second % 4 == 1 }?.let { fleet.crash(it(second)) }
        }
        for (part in case.parts) {
            val crashes = fleet.crashes.filter { it.part == part }.map { it.atMillis }
            val bound = crashes.getOrElse(4) { Long.MAX_VALUE - CONTACT_MILLIS } + CONTACT_MILLIS
            val late = fleet.arrivals.filter { part in it && it.atMillis > bound && it.vm != case.cutOffVm }
            assertTrue(crashes.size >= 3) { "crashes: $crashes" }
            assertTrue(late.size <= 3) { "${late.size} late arrivals; crashes: $crashes" }
        }
        val sound = load.soundSince(20_000).dropLast(20)
        val served = sound.count { it.exchange.isComplete && it.exchange.status == 200 }
        assertTrue(served >= sound.size * 0.95) { "$served of ${sound.size} served; ${fleet.crashes}" }
    }

    // Guards against refusing a rare sound part whose requests were at engines that crashed for another cause.
    @Test
    fun `no part is refused when engines crash for other causes`() {
        val fleet = EngineFleet(vmCount = 6, engineCount = 12)
        val load = Load(fleet, subjects = 60)
        load.run(seconds = 40) { second ->
            if (second % 3 == 1) {
                fleet.crash(second % 12)
                fleet.crash((second + 5) % 12)
            }
        }
        assertEquals(emptyList<Any>(), fleet.events["prompt-part.refused"].orEmpty())
        assertTrue(fleet.crashes.size >= 20)
    }

    // Guards against new crashes after the loss of the VMs that had learned which part it is.
    @Test
    fun `a refused part stays refused after the loss of all VMs`() {
        val fleet = EngineFleet(vmCount = 6, engineCount = 12)
        fleet.deadlyParts += DEADLY
        val load = Load(fleet)
        load.run(seconds = 3)
        val crashesBefore = fleet.crashes.size
        assertTrue(crashesBefore >= 3)
        fleet.restartAllVms()
        // Ends before the first trial is due.
        load.run(seconds = 4)
        assertEquals(crashesBefore, fleet.crashes.size)
    }

    // Guards against a part that counts as released because the store has returned from a copy without its item.
    @Test
    fun `a refused part whose item the store has lost stays refused, and is written again`() {
        val fleet = EngineFleet(vmCount = 3, engineCount = 12)
        fleet.store.nameEra()
        fleet.deadlyParts += DEADLY
        val load = Load(fleet)
        load.run(seconds = 3)
        val crashesBefore = fleet.crashes.size
        val item = "bergamotwind/prompt-part/$DEADLY"
        assertTrue(item in fleet.store.items)
        val now = fleet.store.copy()
        fleet.store.restore(FakeStore.Copy(now.items - item, now.revision - 1, now.leases, now.lastLeaseId))
        load.run(seconds = 3)
        assertEquals(crashesBefore, fleet.crashes.size)
        assertEquals(0, fleet.events["prompt-part.released"].orEmpty().count { it["part"] == "$DEADLY" })
        fleet.loop.advance(4_000)
        assertTrue(item in fleet.store.items)
    }

    // Guards against a part that is refused for good although it has become harmless.
    @Test
    fun `a part that harms no more is tried by one VM and then served everywhere`() {
        val fleet = EngineFleet(vmCount = 6, engineCount = 12)
        fleet.deadlyParts += DEADLY
        val load = Load(fleet)
        load.run(seconds = 6)
        fleet.deadlyParts.clear()
        load.run(seconds = 60, deadly = listOf(DEADLY))
        fleet.loop.advance(3_000)
        val last = load.sent.filter { it.isDeadly }.takeLast(10)
        assertTrue(last.all { it.exchange.isComplete && it.exchange.status == 200 })
        assertEquals(1, fleet.events["prompt-part.trial"].orEmpty().size)
        assertEquals(6, fleet.events["prompt-part.released"].orEmpty().count { it["part"] == "$DEADLY" })
    }

    // Guards against a refusal whose caller cannot tell that the request has not run, and what to change.
    @Test
    fun `the caller of a refused request is told the part, and that it has not run`() {
        val fleet = EngineFleet(vmCount = 2, engineCount = 6)
        fleet.deadlyParts += DEADLY
        Load(fleet).run(seconds = 6)
        val arrivals = fleet.arrivals.size
        val exchange = fleet.serve(0, "last", COMMON, DEADLY, OWN - 1)
        fleet.loop.advance(100)
        assertEquals(503, exchange.status)
        assertTrue(exchange.body.startsWith("part 2 of the prompt has crashed")) { exchange.body }
        assertEquals(arrivals, fleet.arrivals.size)
    }

    // Guards against an operator who cannot end a refusal.
    @Test
    fun `deleting the item of a part releases it at all VMs`() {
        val fleet = EngineFleet(vmCount = 3, engineCount = 6)
        fleet.deadlyParts += DEADLY
        Load(fleet).run(seconds = 6)
        fleet.deadlyParts.clear()
        fleet.store.remove("bergamotwind/prompt-part/$DEADLY")
        fleet.loop.advance(500)
        val exchanges = (0..2).map { fleet.serve(it, "last$it", COMMON, DEADLY, OWN - 1) }
        fleet.loop.advance(3_000)
        assertTrue(exchanges.all { it.status == 200 && it.isComplete })
    }

    private companion object {
        const val COMMON = 1L
        const val DEADLY = 2L
        const val SUBJECTS = 100L
        const val OWN = 10_000L
        const val REQUESTS_PER_SECOND = 10

        /** Time in which all VMs in touch know of the fifth crash. */
        const val CONTACT_MILLIS = 4_000L

        @JvmStatic
        fun deadlyCases() = listOf(
            DeadlyCase("one deadly part"),
            DeadlyCase("one deadly part in each third request", deadlyEvery = 3),
            DeadlyCase("a deadly part that comes with one subject", deadlyEvery = 20),
            DeadlyCase("two deadly parts", parts = setOf(DEADLY, 3L), deadlyEvery = 3),
            DeadlyCase("one VM that no other VM hears", cutOffVm = "vm-1"),
            DeadlyCase("engines that crash for other causes", crashingSlot = { it % 12 }),
            DeadlyCase("rare subjects and other crashes", subjects = 80, crashingSlot = { it * 5 % 12 }),
        )
    }
}
