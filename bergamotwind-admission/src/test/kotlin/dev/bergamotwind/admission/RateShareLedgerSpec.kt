package dev.bergamotwind.admission

import dev.bergamotwind.api.KeyRange
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.configuration.Team
import dev.bergamotwind.test.ThrowingInvariantMonitor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against single races and moments that random runs seldom meet. */
class RateShareLedgerSpec {
    private val team = Team(TeamId("oak"), Tokens(1_000), Tokens(3_200))
    private val slotRecords get() = records(RateKeys.SLOTS).map { it.key.substringAfterLast('/') + it.value }
    private var fleet = Fleet(listOf(team), entrySlots = 6)

    private class Lapse(val name: String, val clockSpeed: Double, val answerDelayMilliseconds: Int)

    @TestFactory
    fun `stops using units before the service can give them away`() = listOf(
        Lapse("exact clock", 1.0, 0),
        Lapse("slow clock", 0.85, 0),
        Lapse("slow answers", 1.0, 1_500),
    ).map { case ->
        dynamicTest(case.name) {
            fleet = Fleet(listOf(team), entrySlots = 6)
            val node = fleet.start().apply { clockSpeed = case.clockSpeed }
            run(4.seconds, node)
            assertTrue(node.ledger.unitsHeld(team.id) > 0)
            var answer = false
            node.duringCall = {
                if (answer) fleet.clock.advance(case.answerDelayMilliseconds.milliseconds)
                answer = !answer
            }
            repeat(10) { fleet.clock.advance(100.milliseconds).also { if (!answer) node.tick() } }
            node.faults.available = false
            repeat(60) {
                fleet.clock.advance(100.milliseconds)
                val held = records(RateKeys.UNITS).any { it.lease != null }
                assertTrue(held || state(node).capacity <= 3_200 * SLOT_FRACTION / 6) { "uses units that are free" }
            }
        }
    }

    @Test
    fun `refills by the units' rate only up to their cut-off even when paused across it`() {
        val shares = RateShares(fleet.configuration(), fleet.clock, ThrowingInvariantMonitor)
        shares.holdSlot(1)
        shares.extendUnits(LeaseId(1), 1.seconds.inWholeNanoseconds)
        shares.addUnits(LeaseId(1), team.id, List(SURPLUS_UNITS) { RateUnit(it, 0) })
        fleet.clock.advance(2.seconds)
        assertEquals(1_500.0, shares.snapshots().single().level)
    }

    @Test
    fun `a released unit takes its part of the level along`() {
        val shares = RateShares(fleet.configuration(), fleet.clock, ThrowingInvariantMonitor)
        shares.extendUnits(LeaseId(1), Long.MAX_VALUE)
        shares.addUnits(LeaseId(1), team.id, List(4) { RateUnit(it, 50) })
        assertEquals(listOf(RateUnit(2, 50), RateUnit(3, 50)), shares.releaseUnits(team.id, 2))
        assertEquals(100.0, shares.snapshots().single().level)
    }

    @Test
    fun `a share does not grow by what another node takes at the same moment`() {
        fleet.entrySlots = 3
        val first = fleet.start().also { it.tick() }
        val second = fleet.start()
        fleet.entrySlots = 1
        first.applyConfiguration()
        first.duringCall = { if (records(RateKeys.SLOTS).size == 1) second.tick() }
        repeat(3) { first.tick() }
        assertEquals(listOf("0{\"vm\":\"vm-0\",\"divisor\":3}", "1{\"vm\":\"vm-1\",\"divisor\":3}"), slotRecords)
    }

    @Test
    fun `keeps the slot of a VM that a lagging list does not show yet, and releases it when the VM is gone`() {
        val holder = fleet.start().also { run(1.seconds, it) }
        val lagging = fleet.start().apply { listLagNanos = 20.seconds.inWholeNanoseconds }
        run(18.seconds, lagging, holder)
        assertTrue(slotRecords.first().contains("vm-0"))
        fleet.gone[holder.vm] = fleet.clock.monotonicNanos()
        run(120.seconds, lagging)
        assertEquals(listOf("{\"vm\":\"vm-1\",\"divisor\":6}"), slotRecords.map { it.drop(1) })
    }

    @Test
    fun `a restarted process keeps its VM's slot and starts empty`() {
        val node = fleet.start().also { run(10.seconds, it) }
        node.restart()
        node.tick()
        val units = node.ledger.unitsHeld(team.id) * 3_200 * SLOT_FRACTION / SURPLUS_UNITS
        assertEquals(3_200 * SLOT_FRACTION / 6 + units, state(node).capacity, 1e-6)
        assertEquals(0.0, state(node).level)
        assertEquals(listOf("0{\"vm\":\"vm-0\",\"divisor\":6}"), slotRecords)
    }

    @Test
    fun `a planned stop leaves the units with their levels for others`() {
        val node = fleet.start().also { run(10.seconds, it) }
        val held = node.ledger.unitsHeld(team.id)
        node.ledger.close()
        val free = records(RateKeys.UNITS)
        assertEquals(List(held) { "{\"vm\":\"vm-0\",\"level\":100}" }, free.map { it.value })
        assertTrue(free.all { it.lease == null })
    }

    @Test
    fun `units follow the demand to one node and serve its largest request`() {
        val nodes = List(6) { fleet.start() }
        repeat(40) {
            fleet.clock.advance(250.milliseconds)
            nodes.first().shares.reserve(team.id, 1_500).onRight { held -> nodes.first().shares.settle(held, 120) }
            nodes.forEach { it.tick(fleet.demand()) }
        }
        assertTrue(state(nodes.first()).capacity >= 1_500) { "${state(nodes.first())}" }
    }

    private fun run(duration: Duration, vararg nodes: Fleet.Node) {
        val end = fleet.clock.monotonicNanos().nanoseconds + duration
        while (fleet.clock.monotonicNanos().nanoseconds < end) {
            fleet.clock.advance(100.milliseconds)
            nodes.forEach { it.tick() }
        }
    }

    private fun state(node: Fleet.Node) = node.shares.snapshots().single()

    private fun records(prefix: String) = fleet.service.client().list(KeyRange(prefix)).getOrNull()!!.entries
}
