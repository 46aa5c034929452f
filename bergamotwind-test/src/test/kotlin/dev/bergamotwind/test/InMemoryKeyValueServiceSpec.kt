package dev.bergamotwind.test

import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Transaction
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Guards against a fake that is more lenient than the platform, which would hide faults in all other tests. */
class InMemoryKeyValueServiceSpec {
    private val clock = ManualClock()
    private val service = InMemoryKeyValueService(clock)

    @Test
    fun `creates a key only once`() {
        val create = Transaction(listOf(Compare.Absent("a")), listOf(Operation.Put("a", "1")))
        assertEquals(listOf(true, false), List(2) { service.client().transact(create).getOrNull()?.applied })
    }

    @Test
    fun `deletes the keys of a lease that was not kept alive`() {
        val client = service.client()
        val lease = client.grantLease(5.seconds).getOrNull()!!
        client.transact(Transaction(emptyList(), listOf(Operation.Put("a", "1", lease))))
        clock.advance(4.seconds)
        client.keepAlive(lease)
        clock.advance(4.seconds)
        assertEquals("1", client.get("a").getOrNull()?.value)
        clock.advance(2.seconds)
        assertNull(client.get("a").getOrNull())
        assertEquals(Failure.LeaseExpired(lease), client.keepAlive(lease).leftOrNull())
    }

    @Test
    fun `loses the response after the write took effect`() {
        val faults = KeyValueFaults().apply { loseAnswer = { true } }
        val result = service.client(faults).transact(Transaction(emptyList(), listOf(Operation.Put("a", "1"))))
        assertTrue(result.leftOrNull() is Failure.OutcomeUnknown)
        assertEquals("1", service.client().get("a").getOrNull()?.value)
    }
}
