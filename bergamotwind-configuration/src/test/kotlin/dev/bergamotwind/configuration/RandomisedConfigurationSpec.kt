package dev.bergamotwind.configuration

import arrow.core.Either
import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.test.InMemoryKeyValueService
import dev.bergamotwind.test.KeyValueFaults
import dev.bergamotwind.test.ManualClock
import dev.bergamotwind.test.ThrowingInvariantMonitor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/**
 * Changes must not be lost, duplicated, accepted after a rejection or applied out of order under concurrent
 * submissions, lost responses, delayed requests, service outages and log trimming. The system properties `seed` and
 * `steps` select the run.
 */
class RandomisedConfigurationSpec {
    private val seed = System.getProperty("seed").toLong()
    private val random = Random(seed)
    private val clock = ManualClock()
    private val service = InMemoryKeyValueService(clock)
    private val written = recordChanges(service)
    private val faults = KeyValueFaults()
    private val delayed = mutableListOf<Transaction>()
    private var submissionDepth = 0
    private var injectFaults = true
    private val editsById = mutableMapOf<ChangeId, ConfigurationEdit>()
    private val outcomesById = mutableMapOf<ChangeId, Either<Failure, ConfigurationChange>>()
    private val operators = List(3) {
        val client = InterleavedKeyValueService(service.client(faults), ::runConcurrentActions, delayed) {
            TransactionFault.entries.getOrElse(if (injectFaults) random.nextInt(10) else 0) { TransactionFault.NONE }
        }
        ConfigurationLog(client, clock)
    }
    private val reader = ConfigurationLog(service.client(faults), clock)
    private val nodes = List(4) { AppliedConfiguration(ThrowingInvariantMonitor) }
    private val seenRevisions = nodes.map { node ->
        mutableListOf<Revision>().also { seen -> node.addListener { seen += it.revision } }
    }

    /** Runs concurrent actions between the reads and the transaction of a submission. */
    private fun runConcurrentActions() {
        if (delayed.isNotEmpty() && random.nextInt(3) == 0) {
            service.client().transact(delayed.removeAt(random.nextInt(delayed.size)))
        }
        if (submissionDepth < 3 && random.nextInt(4) == 0) submit(nextId())
        if (random.nextInt(40) == 0) clock.advance(2.hours)
        if (random.nextInt(8) == 0) trim(reader.readLatest().getOrNull() ?: return)
        if (submissionDepth < 3 && random.nextInt(5) == 0) faults.available = !faults.available
    }

    private fun nextId() = ChangeId("c${editsById.size}")

    private fun submit(id: ChangeId) {
        submissionDepth++
        val edit = editsById.getOrPut(id) {
            val model = random.nextInt(6)
            if (random.nextInt(3) == 0) ConfigurationEdit.RemoveModel(ModelId("m$model")) else putModel(model)
        }
        val outcome = operators.random(random).submit(listOf(edit), "operator", id)
        val earlier = outcomesById[id]
        val isDefinite = outcome.leftOrNull() !is Failure.Unavailable && outcome.leftOrNull() !is Failure.OutcomeUnknown
        if (earlier?.isRight() == true) {
            if (isDefinite) assertEquals(earlier, outcome, "seed $seed: accepted under two revisions")
        } else if (isDefinite || id !in idsWithUnknownOutcome()) {
            outcomesById[id] = outcome
        }
        submissionDepth--
    }

    private fun idsWithUnknownOutcome() = outcomesById.filterValues { it.leftOrNull() is Failure.OutcomeUnknown }.keys

    private fun trim(configuration: OperatorConfiguration) =
        reader.writeSnapshot(configuration).onRight { reader.trim() }

    private fun updateNode(node: AppliedConfiguration) {
        reader.readAfter(node.current.revision).fold(
            { if (it is Failure.NotFound) reader.readLatest().onRight(node::replaceIfNewer) },
            { changes -> node.applyChanges(changes.shuffled(random)) },
        )
        val peer = nodes.random(random)
        peer.changesAfter(node.current.revision)?.let(node::applyChanges) ?: node.replaceIfNewer(peer.current)
    }

    @Test
    fun `operators and nodes agree on one change log`() {
        repeat(System.getProperty("steps").toInt()) {
            if (random.nextInt(3) == 0) faults.available = true
            clock.advance(random.nextInt(5).minutes)
            val start = clock.wallMillis()
            val id = nextId().also(::submit)
            // The id is retained for an hour; a submission may be repeated only within that time.
            val isIdRetained = clock.wallMillis() - start < CHANGE_RETENTION_MILLIS
            if (isIdRetained && random.nextInt(3) == 0) submit(id)
            updateNode(nodes.random(random))
        }
        faults.available = true
        delayed.forEach { service.client().transact(it) }
        checkLog()
        nodes.forEach(::updateNode)
        val expected = written.fold(OperatorConfiguration()) { old, change ->
            ConfigurationEditor.apply(old, change).orFail()
        }
        assertTrue(nodes.all { it.current == expected }, "seed $seed: nodes differ")
        seenRevisions.forEach { assertEquals(it.distinct().sorted(), it, "seed $seed: a revision decreased") }
    }

    private fun checkLog() {
        assertEquals(List(written.size) { it + 1L }, written.map { it.revision.value }, "seed $seed: revisions")
        assertEquals(written.size, written.distinctBy { it.id }.size, "seed $seed: a change is twice in the log")
        val accepted = outcomesById.values.mapNotNull { it.getOrNull() }
        assertTrue(written.containsAll(accepted), "seed $seed: lost ${accepted - written.toSet()}")
        val refused = outcomesById.filterValues { it.isLeft() }.keys - idsWithUnknownOutcome()
        val ids = written.map { it.id }.toSet()
        assertEquals(emptySet<ChangeId>(), refused intersect ids, "seed $seed: refused but in the log")
    }
}
