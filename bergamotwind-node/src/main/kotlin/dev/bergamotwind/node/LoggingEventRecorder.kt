package dev.bergamotwind.node

import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.RequestId
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/** Forwards events to [delegate] and logs each as one line, events of single requests at debug level. */
internal class LoggingEventRecorder(private val delegate: EventRecorder) : EventRecorder {
    override fun record(kind: EventKind, request: RequestId?, fields: List<EventField>) {
        delegate.record(kind, request, fields)
        if (request ==
            null
        ) {
            logger.info { formatLine(kind, null, fields) }
        } else {
            logger.debug { formatLine(kind, request, fields) }
        }
    }

    private fun formatLine(kind: EventKind, request: RequestId?, fields: List<EventField>): String = buildString {
        append("event=").append(kind)
        if (request != null) append(" request=").append(request)
        for (field in fields) append(' ').append(field.key).append("=\"").append(field.value).append('"')
    }
}
