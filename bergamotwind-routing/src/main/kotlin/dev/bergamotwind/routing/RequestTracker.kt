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
 * Follows one request through `request.toml` and knows whether it has run. Safe for use by several threads.
 */
public class RequestTracker(
    private val request: RequestId,
    private val idempotent: Boolean,
    private val monitor: InvariantMonitor,
) {
    private val machine = StateMachine(CHART, monitor)
    private val sends = AtomicInteger()

    /** Current state. */
    public val state: RequestState get() = RequestState.named(machine.state)

    /** What is known about the execution. */
    public val outcome: RunOutcome get() = state.outcome

    /** Whether the request has ended. */
    public val ended: Boolean get() = machine.isFinal

    /** The request waits in the fair queue. */
    public fun queued(): Boolean = machine.fire("queue")

    /** The request holds a claim. */
    public fun claimed(): Boolean = machine.fire("claim")

    /**
     * Must be called before the first byte of each attempt can leave; the attempt may go out only if the result is
     * true. A second attempt of a non-idempotent request is reported as a violation and denied.
     */
    public fun sending(): Boolean {
        val permitted = sends.getAndIncrement() == 0 || idempotent
        monitor.check(Invariant.AT_MOST_ONCE, permitted) { "request=$request state=${machine.state} sent=again" }
        return permitted && machine.fire("send")
    }

    /**
     * The last attempt has certainly not run: the transport wrote no byte of it, or the target refused it. If no other
     * attempt was sent, the request is again one that has not run and may be sent to another target.
     */
    public fun notExecuted(): Boolean = sends.decrementAndGet() == 0 && machine.fire("return")

    /** A target has begun to answer. */
    public fun answering(): Boolean = machine.fire("answer")

    /** The whole answer was received. */
    public fun answered(): Boolean = machine.fire("finish")

    /** The request ends without another attempt, in the end state that its outcome demands. */
    public fun failed(): RequestState {
        if (!machine.tryFire("refuse") && !machine.isFinal) machine.fire("fail")
        return state
    }

    /**
     * Ends the request with [failure] and returns the failure to report. A failure that says not run although a byte
     * may have left is reported as a violation and replaced by one with the true outcome.
     */
    public fun refused(failure: Failure): Failure {
        failed()
        val truthful = failure.run != RunOutcome.NOT_RUN || outcome == RunOutcome.NOT_RUN
        monitor.check(Invariant.NOT_RUN_IS_TRUE, truthful) { "request=$request outcome=$outcome error=${failure.code}" }
        return if (truthful) failure else Failure.TargetFailed(failure.message, outcome)
    }

    private companion object {
        val CHART = StateChart.ofResource(RequestTracker::class.java, "charts/request.toml")
    }
}
