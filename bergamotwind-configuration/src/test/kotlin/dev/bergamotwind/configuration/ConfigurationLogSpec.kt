package dev.bergamotwind.configuration

import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyRange
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.test.InMemoryKeyValueService
import dev.bergamotwind.test.ManualClock
import dev.bergamotwind.test.ThrowingInvariantMonitor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

class ConfigurationLogSpec {
    private val clock = ManualClock()
    private val service = InMemoryKeyValueService(clock)

    private val written = recordChanges(service)

    private fun log(client: KeyValueService = service.client()) = ConfigurationLog(client, clock)

    /** Detects races that occur only with real threads. */
    @Test
    fun `concurrent submissions append every change exactly once`() {
        val threads = List(4) { thread ->
            Thread { repeat(25) { log().submit(listOf(putModel(it)), "t$thread", ChangeId("t$thread-$it")).orFail() } }
        }
        threads.forEach(Thread::start)
        threads.forEach(Thread::join)
        assertEquals(100, written.map { it.id }.distinct().size)
        assertEquals(List(100) { it + 1L }, log().readAfter(Revision(0)).orFail().map { it.revision.value })
    }

    /** A process that pauses between reading and writing must not create a revision that was trimmed meanwhile. */
    @Test
    fun `a submission paused while the log was trimmed does not reuse a trimmed revision`() {
        var pause = true
        val other = log()
        val before = {
            if (pause) {
                pause = false
                repeat(30) {
                    other.submit(listOf(putModel(it)), "other", ChangeId("o$it")).orFail()
                    if (it % 10 == 9) other.writeSnapshot(other.readLatest().orFail()).orFail()
                }
                clock.advance(2.hours)
                other.trim().orFail()
            }
        }
        val paused = log(InterleavedKeyValueService(service.client(), before))
        val first = paused.submit(listOf(putModel(99)), "paused", ChangeId("p"))
        assertTrue(first.leftOrNull() is Failure.Unavailable, "$first")
        val change = paused.submit(listOf(putModel(99)), "paused", ChangeId("p")).orFail()
        assertEquals(Revision(31), change.revision)
        assertTrue(ModelId("m99") in log().readLatest().orFail().models)
        assertTrue(log().readAfter(Revision(0)).leftOrNull() is Failure.NotFound)
        assertEquals(change, paused.submit(listOf(putModel(99)), "paused", ChangeId("p")).orFail())
        val reused = paused.submit(listOf(putModel(98)), "paused", ChangeId("p")).leftOrNull()
        assertTrue(reused is Failure.Conflict, "$reused")
    }

    /** A snapshot with a missing part must not be used, and parts must not exceed the value size limit. */
    @Test
    fun `skips an incomplete snapshot`() {
        val models = (0 until 12_000).associate {
            val id = ModelId("Sarapiquí-$it")
            id to Model(id, "1", Mebibytes(1))
        }
        val big = OperatorConfiguration(Revision(1), models = models)
        val log = log()
        log.submit(listOf(putModel(1)), "a", ChangeId("a")).orFail()
        log.writeSnapshot(big).orFail()
        assertEquals(big, log().readLatest().orFail())
        val parts = service.client().list(KeyRange(ConfigurationKeys.SNAPSHOT_PREFIX)).orFail().entries
        assertTrue(parts.size > 2 && parts.all { it.value.encodeToByteArray().size < 1_000_000 })
        val deletion = Operation.Delete(parts[1].key)
        service.client().transact(Transaction(emptyList(), listOf(deletion)))
        assertEquals(setOf(ModelId("m1")), log().readLatest().orFail().models.keys)
    }

    /** An older confirmation that arrives late must not increase the freshness age. */
    @Test
    fun `freshness age is based on the newest confirmation`() {
        val applied = AppliedConfiguration(ThrowingInvariantMonitor)
        assertEquals(Duration.INFINITE, applied.freshnessAge(0))
        applied.recordFreshness(2_000_000_000)
        applied.recordFreshness(1_000_000_000)
        assertEquals(1.seconds, applied.freshnessAge(3_000_000_000))
    }
}
