package dev.bergamotwind.node

import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.core.StateChart
import dev.bergamotwind.core.StateMachine

/** Lifecycle of this process: the state chart declared in `process.toml`. */
internal class ProcessLifecycle(monitor: InvariantMonitor, private val recorder: EventRecorder) {
    private val stateMachine =
        StateMachine(StateChart.ofResource(ProcessLifecycle::class.java, "/charts/process.toml"), monitor)

    /** Name of the current state. */
    val state: String get() = stateMachine.state

    /** Whether the load balancer should send requests here. */
    val isReady: Boolean get() = stateMachine.state == "serving"

    /** Whether requests are accepted. Stays true while draining, until the load balancer has noticed. */
    val isAccepting: Boolean get() = stateMachine.state == "serving" || stateMachine.state == "draining"

    /** Whether this node has not begun to serve yet. */
    val isStarting: Boolean get() = stateMachine.state == "starting"

    /** Takes and records the transition for [event], if the current state has one; returns whether it has. */
    fun fire(event: String): Boolean {
        val changed = stateMachine.tryFire(event)
        if (changed) recorder.record(EventKind("process.$state"), null, listOf(EventField("cause", event)))
        return changed
    }
}
