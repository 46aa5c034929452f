package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Kind of a time-line event in lower-case words joined by dots, for example `request.admitted`. */
@Serializable
@JvmInline
public value class EventKind(public val value: String) {
    override fun toString(): String = value
}
