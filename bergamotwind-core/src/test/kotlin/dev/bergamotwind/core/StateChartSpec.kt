package dev.bergamotwind.core

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.Invariant
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against charts that would let a machine get stuck or move in a way nobody declared. */
class StateChartSpec {
    data class FaultCase(val name: String, val chart: String, val fault: String) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("faultyCharts")
    fun `names the fault of`(case: FaultCase) {
        val message = StateChart.parse(case.chart).fold({ it.message }, { "accepted" })
        assertTrue(message.contains(case.fault)) { message }
    }

    @Test
    fun `follows declared transitions and reports others`() {
        val chart = StateChart.parse(chart("go" to arrow("a", "b"))).getOrNull()!!
        val monitor = ReportingInvariantMonitor(EventRecorder.None)
        val machine = StateMachine(chart, monitor)
        assertTrue(machine.fire("go"))
        assertEquals("b", machine.state)
        assertFalse(machine.fire("go"))
        assertEquals(1, monitor.violations(Invariant.STATE_CHART_FOLLOWED))
    }

    companion object {
        private data class Arrow(val from: String, val to: String)

        private fun arrow(from: String, to: String) = Arrow(from, to)

        private fun chart(vararg transitions: Pair<String, Arrow>, events: List<String> = listOf("go")): String =
            "name = \"sample\"\ninitial = \"a\"\nfinal = [\"b\"]\n" +
                "events = [${events.joinToString { "\"$it\"" }}]\n" +
                transitions.joinToString("") { (event, arrow) ->
                    "[[transitions]]\nfrom = \"${arrow.from}\"\nevent = \"$event\"\nto = \"${arrow.to}\"\n"
                }

        @JvmStatic
        fun faultyCharts() = listOf(
            FaultCase(
                "an unreachable state",
                chart("go" to arrow("a", "b"), "go" to arrow("c", "b")),
                "state c is unreachable",
            ),
            FaultCase("an undefined event", chart("jump" to arrow("a", "b")), "event jump is undefined"),
            FaultCase(
                "an unused event",
                chart("go" to arrow("a", "b"), events = listOf("go", "stay")),
                "event stay is unused",
            ),
            FaultCase(
                "a state without a way out",
                chart("go" to arrow("a", "c"), "end" to arrow("a", "b"), events = listOf("go", "end")),
                "state c has no way out",
            ),
            FaultCase(
                "an ambiguous transition",
                chart("go" to arrow("a", "b"), "go" to arrow("a", "a")),
                "state a has two transitions on go",
            ),
            FaultCase("broken TOML", "name = ", "state chart"),
        )
    }
}
