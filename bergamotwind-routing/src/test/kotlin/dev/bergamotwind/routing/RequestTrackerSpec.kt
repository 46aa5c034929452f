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

/** Guards against an outcome that moves backwards, an untrue "not run" and a second send. */
class RequestTrackerSpec {
    private val monitor = ReportingInvariantMonitor(EventRecorder.None)

    private fun tracker(idempotent: Boolean) = RequestTracker(RequestId("request"), idempotent, monitor)

    @Test
    fun `no transition leads back to an earlier outcome`() {
        val chart = StateChart.ofResource(RequestTracker::class.java, "charts/request.toml")
        val events = listOf("queue", "claim", "send", "answer", "finish", "fail", "refuse")
        assertEquals(RequestState.entries.map { it.name.lowercase() }.toSet(), chart.states)
        for (from in chart.states) {
            for (to in events.mapNotNull { chart.next(from, it) }) {
                assertTrue(RequestState.named(to).outcome >= RequestState.named(from).outcome) { "$from -> $to" }
            }
        }
    }

    @Test
    fun `denies and reports a second send only when the request is not idempotent`() {
        for (idempotent in listOf(true, false)) {
            val tracker = tracker(idempotent)
            assertTrue(tracker.sending())
            assertEquals(idempotent, tracker.sending())
        }
        assertEquals(1, monitor.violations(Invariant.AT_MOST_ONCE))
    }

    @Test
    fun `replaces a not run that is untrue by the true outcome`() {
        val refusal = Failure.Unavailable("no target")
        assertEquals(RunOutcome.NOT_RUN, tracker(false).apply { queued() }.refused(refusal).run)
        assertEquals(0, monitor.violations(Invariant.NOT_RUN_IS_TRUE))
        val sent = tracker(false).apply { sending() }
        assertEquals(RunOutcome.UNKNOWN, sent.refused(refusal).run)
        val begun = tracker(false).apply { sending() && answering() }
        assertEquals(RunOutcome.RUN, begun.refused(refusal).run)
        assertEquals(2, monitor.violations(Invariant.NOT_RUN_IS_TRUE))
    }
}
