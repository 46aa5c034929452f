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

/** Guards against specific races and timings that random runs seldom produce. */
class RateShareCoordinatorSpec {
    private val team = Team(TeamId("oak"), Tokens(1_000), Tokens(3_200))
    private val slotRecords get() = recordsUnder(RateKeys.SLOT_PREFIX).map { it.key.substringAfterLast('/') + it.value }
    private var fleet = SimulatedFleet(listOf(team), entrySlots = 6)

    private class LeaseLossCase(val name: String, val clockSpeed: Double, val answerDelayMilliseconds: Int)

    @TestFactory
    fun `stops using units before the service can give them away`() = listOf(
        LeaseLossCase("exact clock", 1.0, 0),
        LeaseLossCase("slow clock", 0.85, 0),
        LeaseLossCase("slow answers", 1.0, 1_500),
    ).map { case ->
        dynamicTest(case.name) {
            fleet = SimulatedFleet(listOf(team), entrySlots = 6)
            val node = fleet.start().apply { clockSpeed = case.clockSpeed }
            runFor(4.seconds, node)
            assertTrue(node.coordinator.unitsHeld(team.id) > 0)
            var isAnswer = false
            node.duringCall = {
                if (isAnswer) fleet.clock.advance(case.answerDelayMilliseconds.milliseconds)
                isAnswer = !isAnswer
            }
            repeat(10) { fleet.clock.advance(100.milliseconds).also { if (!isAnswer) node.tick() } }
            node.faults.available = false
            repeat(60) {
                fleet.clock.advance(100.milliseconds)
                val leased = recordsUnder(RateKeys.UNIT_PREFIX).any { it.lease != null }
                assertTrue(leased || snapshotOf(node).capacity <= 3_200 * SLOT_FRACTION / 6) {
                    "uses units that are free"
                }
            }
        }
    }

    @Test
    fun `refills at the units' rate only up to their cut-off even when paused across it`() {
        val rateLimiter = TeamRateLimiter(fleet.configuration(), fleet.clock, ThrowingInvariantMonitor)
        rateLimiter.setSlotDivisor(1)
        rateLimiter.extendUnitLease(LeaseId(1), 1.seconds.inWholeNanoseconds)
        rateLimiter.addUnits(LeaseId(1), team.id, List(SURPLUS_UNITS) { RateUnit(it, 0) })
        fleet.clock.advance(2.seconds)
        assertEquals(1_500.0, rateLimiter.snapshots().single().level)
    }

    @Test
    fun `a released unit carries its part of the bucket level`() {
        val rateLimiter = TeamRateLimiter(fleet.configuration(), fleet.clock, ThrowingInvariantMonitor)
        rateLimiter.extendUnitLease(LeaseId(1), Long.MAX_VALUE)
        rateLimiter.addUnits(LeaseId(1), team.id, List(4) { RateUnit(it, 50) })
        assertEquals(listOf(RateUnit(2, 50), RateUnit(3, 50)), rateLimiter.releaseUnits(team.id, 2))
        assertEquals(100.0, rateLimiter.snapshots().single().level)
    }

    @Test
    fun `a share does not grow by what another node acquires concurrently`() {
        fleet.entrySlots = 3
        val first = fleet.start().also { it.tick() }
        val second = fleet.start()
        fleet.entrySlots = 1
        first.applyConfiguration()
        first.duringCall = { if (recordsUnder(RateKeys.SLOT_PREFIX).size == 1) second.tick() }
        repeat(3) { first.tick() }
        assertEquals(listOf("0{\"vm\":\"vm-0\",\"divisor\":3}", "1{\"vm\":\"vm-1\",\"divisor\":3}"), slotRecords)
    }

    @Test
    fun `keeps the slot of a VM that a lagging list does not show yet, and releases it after the VM is removed`() {
        val holder = fleet.start().also { runFor(1.seconds, it) }
        val lagging = fleet.start().apply { listLagNanos = 20.seconds.inWholeNanoseconds }
        runFor(18.seconds, lagging, holder)
        assertTrue(slotRecords.first().contains("vm-0"))
        fleet.removedAt[holder.vm] = fleet.clock.monotonicNanos()
        runFor(120.seconds, lagging)
        assertEquals(listOf("{\"vm\":\"vm-1\",\"divisor\":6}"), slotRecords.map { it.drop(1) })
    }

    @Test
    fun `a restarted process keeps its VM's slot and starts empty`() {
        val node = fleet.start().also { runFor(10.seconds, it) }
        node.restart()
        node.tick()
        val units = node.coordinator.unitsHeld(team.id) * 3_200 * SLOT_FRACTION / SURPLUS_UNITS
        assertEquals(3_200 * SLOT_FRACTION / 6 + units, snapshotOf(node).capacity, 1e-6)
        assertEquals(0.0, snapshotOf(node).level)
        assertEquals(listOf("0{\"vm\":\"vm-0\",\"divisor\":6}"), slotRecords)
    }

    @Test
    fun `a planned stop returns the units with their levels for other nodes`() {
        val node = fleet.start().also { runFor(10.seconds, it) }
        val heldUnits = node.coordinator.unitsHeld(team.id)
        node.coordinator.close()
        val free = recordsUnder(RateKeys.UNIT_PREFIX)
        assertEquals(List(heldUnits) { "{\"vm\":\"vm-0\",\"level\":100}" }, free.map { it.value })
        assertTrue(free.all { it.lease == null })
    }

    @Test
    fun `units follow the demand to one node and serve its largest request`() {
        val nodes = List(6) { fleet.start() }
        repeat(40) {
            fleet.clock.advance(250.milliseconds)
            val rateLimiter = nodes.first().rateLimiter
            rateLimiter.reserve(team.id, 1_500).onRight { reservation -> rateLimiter.settle(reservation, 120) }
            nodes.forEach { it.tick(fleet.demand()) }
        }
        assertTrue(snapshotOf(nodes.first()).capacity >= 1_500) { "${snapshotOf(nodes.first())}" }
    }

    private fun runFor(duration: Duration, vararg nodes: SimulatedFleet.Node) {
        val end = fleet.clock.monotonicNanos().nanoseconds + duration
        while (fleet.clock.monotonicNanos().nanoseconds < end) {
            fleet.clock.advance(100.milliseconds)
            nodes.forEach { it.tick() }
        }
    }

    private fun snapshotOf(node: SimulatedFleet.Node) = node.rateLimiter.snapshots().single()

    private fun recordsUnder(prefix: String) = fleet.service.client().list(KeyRange(prefix)).getOrNull()!!.entries
}
