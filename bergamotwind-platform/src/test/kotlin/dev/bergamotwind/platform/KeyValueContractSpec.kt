package dev.bergamotwind.platform

import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyRange
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration.Companion.seconds

/** Guards against an adapter and a stand-in that understand the port differently: both run every case. */
class KeyValueContractSpec {
    private class Case(val name: String, val check: ServiceUnderTest.() -> Unit)

    private val cases = listOf(
        Case("reads what was written, with revisions") {
            val first = service.put("a/ü", "päyload \"1\"\n")
            val second = service.put("a/ü", "2")
            val entry = service.get("a/ü").getOrNull()!!
            assertEquals(
                listOf("2", first, second),
                listOf(entry.value, entry.createRevision, entry.modificationRevision),
            )
        },
        Case("returns null for an absent record") { assertNull(service.get("a").getOrNull()) },
        Case("lists a range in order, from a key, limited, newest first") {
            listOf("a/1", "a/2", "a/3", "a0", "b/1").forEach { service.put(it, it) }
            assertEquals(listOf("a/1", "a/2", "a/3"), service.keys(KeyRange("a/")))
            assertEquals(listOf("a/2", "a/3"), service.keys(KeyRange("a/", from = "a/2")))
            assertEquals(listOf("a/3", "a/2"), service.keys(KeyRange("a/", limit = 2, newestFirst = true)))
            assertEquals(5, service.keys(KeyRange("")).size)
        },
        Case("reports the revision of an empty listing") {
            val revision = service.put("b", "1")
            assertEquals(revision, service.list(KeyRange("a/")).getOrNull()?.revision)
        },
        Case("creates a record only once") {
            assertEquals(
                listOf(true, false),
                List(2) {
                    service.applied(Compare.Absent("a"), Operation.Put("a", "$it"))
                },
            )
            assertEquals("0", service.get("a").getOrNull()?.value)
        },
        Case("changes a record only at the compared revisions") {
            val created = service.put("a", "1")
            val modified = service.put("a", "2")
            assertEquals(false, service.applied(Compare.ModifiedAt("a", created), Operation.Put("a", "x")))
            assertEquals(false, service.applied(Compare.CreatedAt("a", modified), Operation.Put("a", "x")))
            assertEquals(false, service.applied(Compare.CreatedAt("b", created), Operation.Put("a", "x")))
            assertEquals(true, service.applied(Compare.ModifiedAt("a", modified), Operation.Put("b", "3")))
            assertEquals(true, service.applied(Compare.CreatedAt("a", created), Operation.Delete("a")))
            assertEquals(listOf("b"), service.keys(KeyRange("")))
        },
        Case("refuses values that are too large, and a key changed twice") {
            val value = "x".repeat(MAXIMUM_VALUE_BYTES + 1)
            val large = service.transact(Transaction(emptyList(), listOf(Operation.Put("a", value))))
            assertTrue(large.leftOrNull() is Failure.Invalid)
            val twice = Transaction(emptyList(), listOf(Operation.Put("a", "1"), Operation.Delete("a")))
            assertTrue(service.transact(twice).leftOrNull() is Failure.Invalid)
        },
        Case("deletes the records of a lease that ended") {
            val lease = service.grantLease(5.seconds).getOrNull()!!
            service.applied(null, Operation.Put("a", "1", lease))
            assertEquals(lease, service.get("a").getOrNull()?.lease)
            clock.advance(4.seconds)
            assertEquals(5.seconds, service.keepAlive(lease).getOrNull())
            clock.advance(4.seconds)
            assertEquals("1", service.get("a").getOrNull()?.value)
            clock.advance(2.seconds)
            assertNull(service.get("a").getOrNull())
            assertEquals(Failure.LeaseExpired(lease), service.keepAlive(lease).leftOrNull())
        },
        Case("refuses a write under a lease that is gone, and revokes twice") {
            val lease = service.grantLease(5.seconds).getOrNull()!!
            repeat(2) { assertTrue(service.revokeLease(lease).isRight()) }
            val put = Transaction(emptyList(), listOf(Operation.Put("a", "1", lease)))
            assertEquals(Failure.LeaseExpired(lease), service.transact(put).leftOrNull())
        },
        Case("reports a lost answer as unknown, and the write can be read back") {
            faults(loseAnswers = true)
            assertTrue(service.create("a").leftOrNull() is Failure.OutcomeUnknown)
            assertTrue(service.grantLease(5.seconds).leftOrNull() is Failure.OutcomeUnknown)
            assertTrue(service.keepAlive(LeaseId(1)).leftOrNull() is Failure.OutcomeUnknown)
            assertEquals("1", service.get("a").getOrNull()?.value)
        },
        Case("reports an outage as unavailable, without effect") {
            available(false)
            assertTrue(service.get("a").leftOrNull() is Failure.Unavailable)
            assertTrue(service.create("a").leftOrNull() is Failure.Unavailable)
            assertTrue(service.watch("a", Revision(1), RecordingListener()).leftOrNull() is Failure.Unavailable)
            available(true)
            assertNull(service.get("a").getOrNull())
            assertEquals(true, service.create("a").getOrNull()?.applied)
        },
        Case("waits for a service that is 2 s slow") {
            faults(delay = 2.seconds)
            assertEquals(true, service.create("a").getOrNull()?.applied)
        },
        Case("delivers each write once, in order, from the given revision, only under the prefix") {
            service.put("a/1", "before")
            val from = service.put("a/1", "first")
            val listener = RecordingListener()
            val watch = service.watch("a/", from, listener).getOrNull()!!
            direct.put("b/1", "other")
            repeat(50) { direct.put("a/$it", "$it") }
            direct.applied(null, Operation.Delete("a/1"))
            assertEquals(listOf("first") + List(50) { "$it" }, listener.take(51))
            watch.close()
            direct.put("a/1", "after")
            assertEquals(emptyList<String>(), listener.take(0))
        },
        Case("resumes a watch after a gap without a loss") {
            val listener = RecordingListener()
            service.watch("a/", service.put("a/1", "1"), listener).getOrNull()!!.close()
            val missed = direct.put("a/1", "2")
            val resumed = RecordingListener()
            service.watch("a/", missed, resumed)
            direct.put("a/2", "3")
            assertEquals(listOf("2", "3"), resumed.take(2))
        },
        Case("ends a watch whose history is gone") {
            direct.put("a", "1")
            store.compact()
            val listener = RecordingListener()
            service.watch("a", Revision(1), listener)
            assertTrue(listener.hasEnded())
        },
        Case("lets a listener call the service") {
            val listener = RecordingListener()
            val reader = object : dev.bergamotwind.api.WatchListener by listener {
                override fun written(entries: List<dev.bergamotwind.api.KeyValueEntry>) {
                    val read = Thread { listener.written(listOfNotNull(service.get(entries.last().key).getOrNull())) }
                    read.start()
                    read.join()
                }
            }
            service.watch("a", Revision(1), reader)
            direct.put("a", "1")
            assertEquals(listOf("1"), listener.take(1))
        },
    )

    @TestFactory
    fun `in memory`(): List<DynamicTest> = cases.map { run(it) { ServiceUnderTest.InMemory() } }

    @TestFactory
    fun `over the etcd JSON API`(): List<DynamicTest> = cases.map { run(it) { ServiceUnderTest.Etcd() } }

    private fun run(case: Case, create: () -> ServiceUnderTest): DynamicTest =
        dynamicTest(case.name) { create().use { case.check(it) } }

    private fun KeyValueService.put(key: String, value: String): Revision =
        transact(Transaction(emptyList(), listOf(Operation.Put(key, value)))).getOrNull()!!.revision

    private fun KeyValueService.create(key: String) =
        transact(Transaction(listOf(Compare.Absent(key)), listOf(Operation.Put(key, "1"))))

    private fun KeyValueService.applied(compare: Compare?, operation: Operation): Boolean? =
        transact(Transaction(listOfNotNull(compare), listOf(operation))).getOrNull()?.applied

    private fun KeyValueService.keys(range: KeyRange): List<String> = list(range).getOrNull()!!.entries.map { it.key }
}
