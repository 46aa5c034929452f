package dev.bergamotwind.routing

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.core.ReportingInvariantMonitor
import dev.bergamotwind.core.StateChart
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Checks that the outcome never goes back, that "not run" is never reported falsely and that a second send is denied.
 */
class RequestTrackerSpec {
    private val monitor = ReportingInvariantMonitor(EventRecorder.None)

    private fun tracker(idempotent: Boolean) = RequestTracker(RequestId("request"), idempotent, monitor)

    @Test
    fun `no transition other than return leads back to an earlier outcome`() {
        val chart = StateChart.ofResource(RequestTracker::class.java, "charts/request.toml")
        val events = listOf("queue", "claim", "send", "answer", "finish", "fail", "refuse")
        assertEquals(RequestState.entries.map { it.name.lowercase() }.toSet(), chart.states)
        for (from in chart.states) {
            for (to in events.mapNotNull { chart.next(from, it) }) {
                val (before, after) = listOf(from, to).map { RequestState.ofChartState(it).outcome }
                assertTrue(after >= before) { "$from -> $to" }
            }
        }
    }

    @Test
    fun `denies and reports a second send only for a non-idempotent request`() {
        for (idempotent in listOf(true, false)) {
            val tracker = tracker(idempotent)
            assertTrue(tracker.beginSend())
            assertEquals(idempotent, tracker.beginSend())
        }
        assertEquals(1, monitor.violations(Invariant.AT_MOST_ONCE))
    }

    @Test
    fun `replaces a false not run outcome by the true one`() {
        val refusal = Failure.Unavailable("no target")
        assertEquals(RunOutcome.NOT_RUN, tracker(false).apply { markQueued() }.endWithFailure(refusal).run)
        assertEquals(0, monitor.violations(Invariant.NOT_RUN_IS_TRUE))
        val sent = tracker(false).apply { beginSend() }
        assertEquals(RunOutcome.UNKNOWN, sent.endWithFailure(refusal).run)
        val answering = tracker(false).apply { beginSend() && markAnswering() }
        assertEquals(RunOutcome.RUN, answering.endWithFailure(refusal).run)
        assertEquals(2, monitor.violations(Invariant.NOT_RUN_IS_TRUE))
    }
}
