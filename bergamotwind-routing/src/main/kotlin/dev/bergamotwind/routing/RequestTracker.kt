package dev.bergamotwind.routing

import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.core.StateChart
import dev.bergamotwind.core.StateMachine
import java.util.concurrent.atomic.AtomicInteger

/**
 * Tracks the state of one request in the state chart `request.toml` and thereby whether the request has run.
 * Thread-safe.
 */
public class RequestTracker(
    private val request: RequestId,
    private val idempotent: Boolean,
    private val monitor: InvariantMonitor,
) {
    private val stateMachine = StateMachine(CHART, monitor)
    private val sends = AtomicInteger()

    /** Current state. */
    public val state: RequestState get() = RequestState.ofChartState(stateMachine.state)

    /** What is known about whether the request has run. */
    public val outcome: RunOutcome get() = state.outcome

    /** Whether the request has ended. */
    public val isEnded: Boolean get() = stateMachine.isFinal

    /** Records that the request waits in the fair queue. */
    public fun markQueued(): Boolean = stateMachine.fire("queue")

    /** Records that a claim was made for the request. */
    public fun markClaimed(): Boolean = stateMachine.fire("claim")

    /**
     * Must be called before the first byte of each attempt can be sent; the attempt may be sent only if the result is
     * true. A second attempt for a non-idempotent request is denied and reported as an invariant violation.
     */
    public fun beginSend(): Boolean {
        val permitted = sends.getAndIncrement() == 0 || idempotent
        monitor.check(Invariant.AT_MOST_ONCE, permitted) { "request=$request state=${stateMachine.state} sent=again" }
        return permitted && stateMachine.fire("send")
    }

    /**
     * Records that the last attempt has certainly not run: the transport wrote no byte of it, or the target refused it.
     * If no other attempt was sent, the request counts as not run again and may be sent to another target.
     */
    public fun markNotExecuted(): Boolean = sends.decrementAndGet() == 0 && stateMachine.fire("return")

    /** Records that a target has begun to answer. */
    public fun markAnswering(): Boolean = stateMachine.fire("answer")

    /** Records that the whole answer was received. */
    public fun markAnswered(): Boolean = stateMachine.fire("finish")

    /**
     * Ends the request without a whole answer and returns its final state, which depends on what was sent and received.
     */
    public fun endUnanswered(): RequestState {
        if (!stateMachine.tryFire("refuse") && !stateMachine.isFinal) stateMachine.fire("fail")
        return state
    }

    /**
     * Ends the request with [failure] and returns the failure to report to the caller. A failure that claims "not run"
     * although a byte may have been sent is reported as an invariant violation and replaced by one with the true
     * outcome.
     */
    public fun endWithFailure(failure: Failure): Failure {
        endUnanswered()
        val truthful = failure.run != RunOutcome.NOT_RUN || outcome == RunOutcome.NOT_RUN
        monitor.check(Invariant.NOT_RUN_IS_TRUE, truthful) { "request=$request outcome=$outcome error=${failure.code}" }
        return if (truthful) failure else Failure.TargetFailed(failure.message, outcome)
    }

    private companion object {
        val CHART = StateChart.ofResource(RequestTracker::class.java, "charts/request.toml")
    }
}
