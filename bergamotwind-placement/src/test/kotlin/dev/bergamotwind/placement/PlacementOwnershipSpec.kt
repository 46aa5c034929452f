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

/** Guards against two nodes that give orders at once and against an ownership nobody takes over. */
class PlacementOwnershipSpec {
    private val clock = ManualClock()
    private val service = InMemoryKeyValueService(clock)
    private val faults = KeyValueFaults()
    private val first = ownership("vm-1")
    private val second = ownership("vm-2")

    @Test
    fun `stops before its lease ends and is followed under a greater number`() {
        val number = first.renew().getOrNull()!!
        assertNull(second.renew().getOrNull())
        clock.advance(8.seconds)
        assertNull(first.current())
        assertNull(second.renew().getOrNull())
        clock.advance(5.seconds)
        assertTrue(second.renew().getOrNull()!! > number)
        assertTrue(first.renew().isLeft() || first.current() == null)
    }

    @Test
    fun `knows that it became owner although the answer was lost`() {
        var writes = 0
        faults.loseAnswer = { ++writes == 2 }
        assertNotNull(first.renew().getOrNull())
    }

    @Test
    fun `keeps its number while it renews`() {
        val number = first.renew().getOrNull()
        repeat(10) {
            clock.advance(4.seconds)
            assertEquals(number, first.renew().getOrNull())
        }
    }

    private fun ownership(node: String) =
        PlacementOwnership(service.client(faults), clock, VmId(node), FailureDomainId("north"))
}
