package dev.bergamotwind.api

/** Records events for the time line. Never blocks and never fails; the oldest events are dropped first. */
public interface EventRecorder {
    /** Records an event of [kind], about [request] if given, with [fields] in order. */
    public fun record(kind: EventKind, request: RequestId? = null, fields: List<EventField> = emptyList())

    /** Recorder that drops everything. */
    public companion object None : EventRecorder {
        override fun record(kind: EventKind, request: RequestId?, fields: List<EventField>): Unit = Unit
    }
}
