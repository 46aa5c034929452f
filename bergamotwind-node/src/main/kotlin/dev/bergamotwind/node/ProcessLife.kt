package dev.bergamotwind.node

import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.core.StateChart
import dev.bergamotwind.core.StateMachine

/** Life of this process, as `process.toml` declares it. */
internal class ProcessLife(monitor: InvariantMonitor, private val recorder: EventRecorder) {
    private val machine = StateMachine(StateChart.ofResource(ProcessLife::class.java, "/charts/process.toml"), monitor)

    /** Name of the current state. */
    val state: String get() = machine.state

    /** Whether the load balancer should send requests here. */
    val isReady: Boolean get() = machine.state == "serving"

    /** Whether new work is accepted; goes on while the load balancer has not noticed that this node is not ready. */
    val isAccepting: Boolean get() = machine.state == "serving" || machine.state == "draining"

    /** Whether this node has not yet begun to serve. */
    val isStarting: Boolean get() = machine.state == "starting"

    /** Takes the transition for [event] if it is declared, and records it. */
    fun fire(event: String): Boolean {
        val moved = machine.tryFire(event)
        if (moved) recorder.record(EventKind("process.$state"), null, listOf(EventField("cause", event)))
        return moved
    }
}
