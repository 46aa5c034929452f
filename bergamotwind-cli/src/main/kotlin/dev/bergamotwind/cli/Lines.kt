package dev.bergamotwind.cli

import dev.bergamotwind.configuration.ConfigurationJson
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Renders [item] as one line of key=value pairs; the entries of a list are joined by commas. */
internal fun <T> lineOf(serializer: SerializationStrategy<T>, item: T): String =
    lineOf(ConfigurationJson.encodeToJsonElement(serializer, item) as JsonObject)

/** Renders [fields] as one line of key=value pairs. */
internal fun lineOf(fields: JsonObject): String =
    fields.entries.joinToString(" ") { (key, value) -> "$key=${textOf(value)}" }

private fun textOf(value: JsonElement): String = when (value) {
    is JsonPrimitive -> if (' ' in value.content) value.toString() else value.content
    is JsonArray -> if (value.all { it is JsonPrimitive }) value.joinToString(",", transform = ::textOf) else "$value"
    is JsonObject -> value.toString()
}
