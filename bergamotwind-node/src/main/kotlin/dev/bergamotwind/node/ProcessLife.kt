package dev.bergamotwind.node

import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.core.StateChart
import dev.bergamotwind.core.StateMachine

/** Life of this process: starting, serving, draining, stopped. */
internal class ProcessLife(monitor: InvariantMonitor, private val recorder: EventRecorder) {
    private val machine = StateMachine(StateChart.ofResource(ProcessLife::class.java, "/charts/process.toml"), monitor)

    /** Name of the current state. */
    val state: String get() = machine.state

    /** Whether new work is accepted. */
    val isServing: Boolean get() = machine.state == "serving"

    /** Whether a planned stop has begun. */
    val isDraining: Boolean get() = machine.state == "draining" || machine.state == "stopped"

    /** Takes the transition for [event] if it is declared, and records it. */
    fun fire(event: String): Boolean {
        val moved = machine.tryFire(event)
        if (moved) recorder.record(EventKind("process.$state"), null, listOf(EventField("cause", event)))
        return moved
    }
}
