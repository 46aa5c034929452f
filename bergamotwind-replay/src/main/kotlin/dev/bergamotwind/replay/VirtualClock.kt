package dev.bergamotwind.replay

import dev.bergamotwind.api.Clock
import java.util.PriorityQueue

/** Virtual clock that runs actions by scheduled time, and those of the same time in the order of scheduling. */
internal class VirtualClock : Clock {
    private class Event(val nanos: Long, val sequence: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event>({ it.nanos }, { it.sequence }))
    private var now = 0L
    private var nextSequence = 0L

    override fun monotonicNanos(): Long = now

    override fun wallMillis(): Long = now / NANOS_PER_MILLISECOND

    fun scheduleAt(millis: Long, action: () -> Unit) {
        events += Event(maxOf(now, millis * NANOS_PER_MILLISECOND), nextSequence++, action)
    }

    fun scheduleAfter(millis: Long, action: () -> Unit) = scheduleAt(wallMillis() + millis, action)

    fun runUntil(untilMillis: Long) {
        while (events.isNotEmpty() && events.peek().nanos <= untilMillis * NANOS_PER_MILLISECOND) {
            val event = events.poll()
            now = event.nanos
            event.action()
        }
    }

    private companion object {
        const val NANOS_PER_MILLISECOND = 1_000_000L
    }
}
