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

    /** Guards against races that only real threads show. */
    @Test
    fun `threads that race put every change into the log once`() {
        val threads = List(4) { thread ->
            Thread { repeat(25) { log().submit(listOf(putModel(it)), "t$thread", ChangeId("t$thread-$it")).orFail() } }
        }
        threads.forEach(Thread::start)
        threads.forEach(Thread::join)
        assertEquals(100, written.map { it.id }.distinct().size)
        assertEquals(List(100) { it + 1L }, log().readAfter(Revision(0)).orFail().map { it.revision.value })
    }

    /** Guards against a revision that is created again after its change was trimmed, by a process that paused. */
    @Test
    fun `a process that paused while the log was trimmed does not write into the past`() {
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

    /** Guards against a snapshot that is used although a part is missing, and against parts over the limit. */
    @Test
    fun `an incomplete snapshot is passed over`() {
        val models = (0 until 12_000).associate {
            val id = ModelId("Sarapiquí-$it")
            id to Model(id, "1", Mebibytes(1))
        }
        val big = OperatorConfiguration(Revision(1), models = models)
        val log = log()
        log.submit(listOf(putModel(1)), "a", ChangeId("a")).orFail()
        log.writeSnapshot(big).orFail()
        assertEquals(big, log().readLatest().orFail())
        val parts = service.client().list(KeyRange(ConfigurationKeys.SNAPSHOTS)).orFail().entries
        assertTrue(parts.size > 2 && parts.all { it.value.encodeToByteArray().size < 1_000_000 })
        val deletion = Operation.Delete(parts[1].key)
        service.client().transact(Transaction(emptyList(), listOf(deletion)))
        assertEquals(setOf(ModelId("m1")), log().readLatest().orFail().models.keys)
    }

    /** Guards against an age that starts from a confirmation that is older than one already known. */
    @Test
    fun `freshness follows the newest confirmation`() {
        val applied = AppliedConfiguration(ThrowingInvariantMonitor)
        assertEquals(Duration.INFINITE, applied.freshnessAge(0))
        applied.confirmedFresh(2_000_000_000)
        applied.confirmedFresh(1_000_000_000)
        assertEquals(1.seconds, applied.freshnessAge(3_000_000_000))
    }
}
