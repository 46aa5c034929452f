package dev.bergamotwind.replay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Duration.Companion.seconds

/** Guards against a policy that loses its stated outcomes on the committed traces, and against replays that vary. */
class TraceReplaySpec {
    @ParameterizedTest
    @ValueSource(strings = ["association", "dendrometrica"])
    fun `keeps the stated outcomes on the committed trace of`(name: String) {
        val trace = read(name)
        val results = ReplayPolicy.entries.associateWith { TraceReplay.run(trace, it, 1) }
        val current = results.getValue(ReplayPolicy.CURRENT)
        val least = results.getValue(ReplayPolicy.LEAST_IN_FLIGHT)
        val roundRobin = results.getValue(ReplayPolicy.ROUND_ROBIN)
        assertEquals(0, current.memoryOvercommitted)
        assertTrue(current.answeredInTime > roundRobin.answeredInTime) { "$current" }
        // A trace of two minutes is too short for placement to pay off, so it only must not cost much.
        assertTrue(current.answeredInTime >= least.answeredInTime * 0.97) { "$current" }
        assertTrue(current.worstTeamAttainment >= 0.7) { "$current" }
        assertEquals(ReplayFormat.JSON.render(listOf(current)), json(trace))
    }

    @Test
    fun `moves at most a tenth as often as the naive follower on the committed trace of dendrometrica`() =
        checkMoves("dendrometrica")

    @Test
    @Tag("known-red")
    fun `moves at most a tenth as often as the naive follower on the committed trace of association`() =
        checkMoves("association")

    private fun checkMoves(name: String) {
        val trace = read(name)
        val current = TraceReplay.run(trace, ReplayPolicy.CURRENT, 1).moves
        val naive = TraceReplay.run(trace, ReplayPolicy.NAIVE, 1).moves
        assertTrue(current * 10 <= naive) { "$current moves, naive $naive" }
    }

    @Test
    fun `writes and reads the same trace and names the line of an error`() {
        val trace = TraceGenerator.generate(Deployment.ofName("association")!!, 3, 20.seconds)
        val text = buildString { TraceFile.write(trace, this) }
        assertEquals(trace, TraceFile.read(text.reader()).getOrNull())
        assertEquals(
            text,
            buildString {
                TraceFile.write(TraceGenerator.generate(trace.deployment, 3, 20.seconds), this)
            },
        )
        val lines = text.lines().toMutableList().also { it[4] = it[4].replace("request", "reqest") }
        val failure = TraceFile.read(lines.joinToString("\n").reader()).leftOrNull()!!
        assertTrue(failure.message.startsWith("trace line 5:")) { failure.message }
    }

    private fun json(trace: Trace) = ReplayFormat.JSON.render(listOf(TraceReplay.run(trace, ReplayPolicy.CURRENT, 1)))

    private fun read(name: String): Trace {
        val stream = TraceFile::class.java.getResourceAsStream("/traces/$name.csv")!!
        return stream.reader().use(TraceFile::read).fold({ error(it.message) }, { it })
    }
}
