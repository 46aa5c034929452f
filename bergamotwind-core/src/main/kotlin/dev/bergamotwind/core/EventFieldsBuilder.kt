package dev.bergamotwind.core

import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.RequestId

/** Collects the fields of one event in order. */
public class EventFieldsBuilder {
    private val fields = mutableListOf<EventField>()

    /** Adds the field [key] unless [value] is null. */
    public fun field(key: String, value: Any?) {
        if (value != null) fields += EventField(key, value.toString())
    }

    /** Returns the fields. */
    public fun build(): List<EventField> = fields
}

/** Records an event of [kind], about [request] if given, with the fields that [build] adds. */
public fun EventRecorder.event(kind: String, request: RequestId? = null, build: EventFieldsBuilder.() -> Unit = {}) {
    record(EventKind(kind), request, EventFieldsBuilder().apply(build).build())
}
