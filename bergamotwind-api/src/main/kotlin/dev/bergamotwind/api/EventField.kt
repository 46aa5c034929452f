package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** One key=value pair of an event. */
@Serializable
public data class EventField(val key: String, val value: String)
