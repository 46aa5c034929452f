package dev.bergamotwind.core

import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.RequestId
import kotlinx.serialization.Serializable

/** One event of the time line. */
@Serializable
public data class TimeLineEvent(
    val time: HybridTime,
    val process: String,
    val kind: EventKind,
    val request: RequestId? = null,
    val fields: List<EventField> = emptyList(),
) {
    /** Renders the event as one line of key=value pairs. */
    public fun toLine(): String = buildString {
        append("time=").append(time).append(" process=").append(process).append(" event=").append(kind)
        if (request != null) append(" request=").append(request)
        for (field in fields) append(' ').append(field.key).append('=').append(quoted(field.value))
    }

    private fun quoted(value: String): String = if (value.none { it.isWhitespace() || it == '"' || it == '=' }) {
        value
    } else {
        "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\""
    }
}
