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
 * Guards against a change that is lost, doubled, accepted after a refusal or applied in another order, while operators
 * race, answers are lost, requests come late, the service is down and the log is trimmed. The properties `seed` and
 * `steps` choose the run.
 */
class RandomisedConfigurationSpec {
    private val seed = System.getProperty("seed").toLong()
    private val random = Random(seed)
    private val clock = ManualClock()
    private val service = InMemoryKeyValueService(clock)
    private val written = recordChanges(service)
    private val faults = KeyValueFaults()
    private val late = mutableListOf<Transaction>()
    private var depth = 0
    private var lossy = true
    private val edits = mutableMapOf<ChangeId, ConfigurationEdit>()
    private val outcomes = mutableMapOf<ChangeId, Either<Failure, ConfigurationChange>>()
    private val operators = List(3) {
        val client = InterleavedKeyValueService(service.client(faults), ::interfere, late) {
            Fate.entries.getOrElse(if (lossy) random.nextInt(10) else 0) { Fate.ANSWERED }
        }
        ConfigurationLog(client, clock)
    }
    private val reader = ConfigurationLog(service.client(faults), clock)
    private val nodes = List(4) { AppliedConfiguration(ThrowingInvariantMonitor) }
    private val seen = nodes.map { node ->
        mutableListOf<Revision>().also { seen -> node.listen { seen += it.revision } }
    }

    /** Lets others act between the reads and the transaction of a submission. */
    private fun interfere() {
        if (late.isNotEmpty() && random.nextInt(3) == 0) {
            service.client().transact(late.removeAt(random.nextInt(late.size)))
        }
        if (depth < 3 && random.nextInt(4) == 0) submit(nextId())
        if (random.nextInt(40) == 0) clock.advance(2.hours)
        if (random.nextInt(8) == 0) trim(reader.readLatest().getOrNull() ?: return)
        if (depth < 3 && random.nextInt(5) == 0) faults.available = !faults.available
    }

    private fun nextId() = ChangeId("c${edits.size}")

    private fun submit(id: ChangeId) {
        depth++
        val edit = edits.getOrPut(id) {
            val model = random.nextInt(6)
            if (random.nextInt(3) == 0) ConfigurationEdit.RemoveModel(ModelId("m$model")) else putModel(model)
        }
        val outcome = operators.random(random).submit(listOf(edit), "operator", id)
        val earlier = outcomes[id]
        val settles = outcome.leftOrNull() !is Failure.Unavailable && outcome.leftOrNull() !is Failure.OutcomeUnknown
        if (earlier?.isRight() == true) {
            if (settles) assertEquals(earlier, outcome, "seed $seed: accepted under two revisions")
        } else if (settles || id !in unsettled()) {
            outcomes[id] = outcome
        }
        depth--
    }

    private fun unsettled() = outcomes.filterValues { it.leftOrNull() is Failure.OutcomeUnknown }.keys

    private fun trim(configuration: OperatorConfiguration) =
        reader.writeSnapshot(configuration).onRight { reader.trim() }

    private fun update(node: AppliedConfiguration) {
        reader.readAfter(node.current.revision).fold(
            { if (it is Failure.NotFound) reader.readLatest().onRight(node::adopt) },
            { changes -> node.offer(changes.shuffled(random)) },
        )
        val peer = nodes.random(random)
        peer.changesAfter(node.current.revision)?.let(node::offer) ?: node.adopt(peer.current)
    }

    @Test
    fun `operators and nodes agree on one log`() {
        repeat(System.getProperty("steps").toInt()) {
            if (random.nextInt(3) == 0) faults.available = true
            clock.advance(random.nextInt(5).minutes)
            val start = clock.wallMillis()
            val id = nextId().also(::submit)
            // The id is known for an hour; only as long may a submission be repeated.
            val known = clock.wallMillis() - start < KEPT_CHANGE_MILLIS
            if (known && random.nextInt(3) == 0) submit(id)
            update(nodes.random(random))
        }
        faults.available = true
        late.forEach { service.client().transact(it) }
        checkLog()
        nodes.forEach(::update)
        val expected = written.fold(OperatorConfiguration()) { old, change ->
            ConfigurationEditor.apply(old, change).orFail()
        }
        assertTrue(nodes.all { it.current == expected }, "seed $seed: nodes differ")
        seen.forEach { assertEquals(it.distinct().sorted(), it, "seed $seed: a node went back") }
    }

    private fun checkLog() {
        assertEquals(List(written.size) { it + 1L }, written.map { it.revision.value }, "seed $seed: revisions")
        assertEquals(written.size, written.distinctBy { it.id }.size, "seed $seed: a change is twice in the log")
        val accepted = outcomes.values.mapNotNull { it.getOrNull() }
        assertTrue(written.containsAll(accepted), "seed $seed: lost ${accepted - written.toSet()}")
        val refused = outcomes.filterValues { it.isLeft() }.keys - unsettled()
        val ids = written.map { it.id }.toSet()
        assertEquals(emptySet<ChangeId>(), refused intersect ids, "seed $seed: refused but in the log")
    }
}
