package dev.bergamotwind.placement

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.test.InMemoryKeyValueService
import dev.bergamotwind.test.KeyValueFaults
import dev.bergamotwind.test.ManualClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Guards against two nodes that give orders at the same time, and against an expired ownership that no node takes. */
class PlacementOwnershipSpec {
    private val clock = ManualClock()
    private val service = InMemoryKeyValueService(clock)
    private val faults = KeyValueFaults()
    private val first = ownership("vm-1")
    private val second = ownership("vm-2")

    @Test
    fun `owner stops before its lease expires and its successor gets a greater fencing number`() {
        val number = first.renewOrAcquire().getOrNull()!!
        assertNull(second.renewOrAcquire().getOrNull())
        clock.advance(8.seconds)
        assertNull(first.currentFencing())
        assertNull(second.renewOrAcquire().getOrNull())
        clock.advance(5.seconds)
        assertTrue(second.renewOrAcquire().getOrNull()!! > number)
        assertTrue(first.renewOrAcquire().isLeft() || first.currentFencing() == null)
    }

    @Test
    fun `detects that it became owner although the response to the write was lost`() {
        var writes = 0
        faults.loseAnswer = { ++writes == 2 }
        assertNotNull(first.renewOrAcquire().getOrNull())
    }

    @Test
    fun `keeps its fencing number while it renews the lease`() {
        val number = first.renewOrAcquire().getOrNull()
        repeat(10) {
            clock.advance(4.seconds)
            assertEquals(number, first.renewOrAcquire().getOrNull())
        }
    }

    private fun ownership(node: String) =
        PlacementOwnership(service.client(faults), clock, VmId(node), FailureDomainId("north"))
}
