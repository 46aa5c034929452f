package dev.bergamotwind.replay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Duration.Companion.minutes

/** Guards against a policy that misses the objectives of the design page on a trace of 16 minutes with all faults. */
class ObjectivesSpec {
    @ParameterizedTest
    @ValueSource(strings = ["association", "dendrometrica"])
    fun `keeps memory, moves, fairness and attainment for`(name: String) {
        val results = ReplayPolicy.entries.associateWith { TraceReplay.run(trace(name), it, SEED) }
        val current = results.getValue(ReplayPolicy.CURRENT)
        assertEquals(0, current.memoryOvercommitted)
        assertTrue(current.moves * 10 <= results.getValue(ReplayPolicy.NAIVE).moves) { "$current" }
        assertTrue(current.worstTeamAttainment >= 0.95 * current.medianTeamAttainment) { "$current" }
        val others = results.values.filter { it.policy != current.policy }
        assertTrue(others.all { current.attainmentPerAccelerator > it.attainmentPerAccelerator }) { "$results" }
    }

    @Test
    @Tag("known-red")
    fun `refuses less than half a percent inside the rate for association`() = checkRefusals("association")

    @Test
    @Tag("known-red")
    fun `refuses less than half a percent inside the rate for dendrometrica`() = checkRefusals("dendrometrica")

    private fun checkRefusals(name: String) {
        val result = TraceReplay.run(trace(name), ReplayPolicy.CURRENT, SEED)
        assertTrue(result.refusedInsideRatePart < 0.005) { "${result.refusedInsideRatePart}" }
    }

    private fun trace(name: String) = TraceGenerator.generate(Deployment.ofName(name)!!, SEED, 16.minutes)

    private companion object {
        const val SEED = 1L
    }
}
