package dev.bergamotwind.core

import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import java.util.concurrent.atomic.AtomicReference

/** The current state of one thing that follows a [chart]. Safe for use by several threads. */
public class StateMachine(private val chart: StateChart, private val monitor: InvariantMonitor) {
    private val current = AtomicReference(chart.initial)

    /** Current state. */
    public val state: String get() = current.get()

    /** Whether the machine has ended. */
    public val isFinal: Boolean get() = chart.isFinal(state)

    /** Takes the transition for [event]; returns false and reports a violation if the chart declares none. */
    public fun fire(event: String): Boolean {
        val moved = tryFire(event)
        monitor.check(Invariant.STATE_CHART_FOLLOWED, moved) { "chart=${chart.name} state=$state event=$event" }
        return moved
    }

    /** Takes the transition for [event] if the chart declares one in the current state. */
    public fun tryFire(event: String): Boolean {
        while (true) {
            val state = current.get()
            val next = chart.next(state, event) ?: return false
            if (current.compareAndSet(state, next)) return true
        }
    }
}
