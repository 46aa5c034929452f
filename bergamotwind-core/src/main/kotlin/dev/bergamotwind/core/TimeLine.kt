package dev.bergamotwind.core

import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.RequestId
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReferenceArray

/** Keeps the newest events of this process in a ring that any thread may write to without locks. */
public class TimeLine(
    private val process: String,
    private val hybridClock: HybridLogicalClock = HybridLogicalClock(),
    private val capacity: Int = DEFAULT_TIME_LINE_CAPACITY,
) : EventRecorder {
    private val events = AtomicReferenceArray<TimeLineEvent?>(capacity)
    private val written = AtomicLong()

    override fun record(kind: EventKind, request: RequestId?, fields: List<EventField>) {
        val event = TimeLineEvent(hybridClock.now(), process, kind, request, fields)
        events.set((written.getAndIncrement() % capacity).toInt(), event)
    }

    /** Returns the events that are kept and match [filter], oldest first. */
    public fun snapshot(filter: (TimeLineEvent) -> Boolean = { true }): List<TimeLineEvent> =
        (0 until capacity).mapNotNull { events.get(it) }.filter(filter).sortedBy { it.time }
}
