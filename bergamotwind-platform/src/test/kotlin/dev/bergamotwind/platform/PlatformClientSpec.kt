package dev.bergamotwind.platform

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.MediaType
import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.VirtualMachine
import dev.bergamotwind.api.VirtualMachineState
import dev.bergamotwind.api.VmId
import dev.bergamotwind.test.PlatformFaults
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against an adapter that repeats writes, overruns its budget, or misreports what may have been written. */
class PlatformClientSpec {
    private val create = Transaction(listOf(Compare.Absent("a")), listOf(Operation.Put("a", "1")))

    @Test
    fun `a timed out write is unknown, sent once and may have taken effect`() =
        ServiceUnderTest.Etcd(ServiceUnderTest.Etcd.SHORT_TIMEOUT).use { etcd ->
            etcd.faults(delay = 600.milliseconds)
            assertTrue(etcd.service.transact(create).leftOrNull() is Failure.OutcomeUnknown)
            assertTrue(etcd.service.get("a").leftOrNull() is Failure.Unavailable)
            Thread.sleep(400)
            assertEquals(Revision(2), etcd.direct.get("a").getOrNull()?.createRevision)
        }

    @Test
    fun `status 503 leaves the outcome of a write open`() = ServiceUnderTest.Etcd().use { etcd ->
        etcd.server.faults = PlatformFaults(unavailable = true)
        assertTrue(etcd.service.transact(create).leftOrNull() is Failure.OutcomeUnknown)
        assertTrue(etcd.service.get("a").leftOrNull() is Failure.Unavailable)
    }

    @Test
    fun `calls go to the next endpoint after a refused connection`() = ServiceUnderTest.Etcd(dead = 2).use { etcd ->
        assertEquals(true, etcd.service.transact(create).getOrNull()?.applied)
        assertEquals(2.0, etcd.registry.counter(ERRORS, "kind", "transact", "code", "unreachable").count())
    }

    @Test
    fun `a write with a lost answer is not sent to another endpoint`() = ServiceUnderTest.Etcd().use { etcd ->
        val settings = PlatformSettings(listOf(etcd.server.endpoint, etcd.server.endpoint))
        PlatformClient(settings, etcd.registry).use { client ->
            etcd.faults(loseAnswers = true)
            val before = etcd.store.calls
            assertTrue(EtcdKeyValueService(client).transact(create).leftOrNull() is Failure.OutcomeUnknown)
            assertEquals(1, etcd.store.calls - before)
        }
    }

    @Test
    fun `the budget refuses calls without sending them and keeps its reserve for keep-alives`() =
        ServiceUnderTest.Etcd(callsPerSecond = 10).use { etcd ->
            val lease = etcd.service.grantLease(5.seconds).getOrNull()!!
            val reads = List(10) { etcd.service.get("a") }
            assertEquals(4, reads.count { it.isRight() })
            assertEquals("platform_budget_exceeded", reads.last().leftOrNull()?.code)
            assertEquals(5, List(6) { etcd.service.keepAlive(lease) }.count { it.isRight() })
            assertEquals(6.0, etcd.registry.counter(REFUSALS, "kind", "range").count())
            etcd.clock.advance(1.seconds)
            assertTrue(etcd.service.get("a").isRight())
        }

    @Test
    fun `a watch ends when the service goes away, and is resumed from the next revision`() =
        ServiceUnderTest.Etcd().use { etcd ->
            val listener = RecordingListener()
            etcd.service.watch("a", Revision(1), listener)
            etcd.available(false)
            assertTrue(listener.hasEnded())
            val missed = etcd.direct.transact(create).getOrNull()!!.revision
            etcd.available(true)
            val resumed = RecordingListener()
            etcd.service.watch("a", missed, resumed)
            assertEquals(listOf("1"), resumed.take(1))
        }

    @Test
    fun `the VM list is read as it was set, and faults over HTTP take effect`() = ServiceUnderTest.Etcd().use { etcd ->
        val machine = VirtualMachine(VmId("vm-1"), FailureDomainId("west"), "127.0.0.1", VirtualMachineState.LEAVING)
        val http = WebClient.of("h1c://${etcd.server.endpoint}").blocking()
        val list = "[{\"id\":\"vm-1\",\"failureDomain\":\"west\",\"address\":\"127.0.0.1\",\"state\":\"leaving\"}]"
        http.prepare().put("/vms").content(MediaType.JSON, list).execute()
        assertEquals(listOf(machine), HttpVirtualMachineList(etcd.client).read().getOrNull())
        http.prepare().post("/faults").content(MediaType.JSON, "{\"unavailable\":true}").execute()
        assertTrue(HttpVirtualMachineList(etcd.client).read().leftOrNull() is Failure.Unavailable)
    }

    private companion object {
        const val ERRORS = "bergamotwind.platform.errors"
        const val REFUSALS = "bergamotwind.platform.budget.refusals"
    }
}
