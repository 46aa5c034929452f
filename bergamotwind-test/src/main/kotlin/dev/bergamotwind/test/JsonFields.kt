package dev.bergamotwind.test

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.util.Base64

internal fun JsonObject.field(name: String): JsonElement? = this[name] ?: this[camelCase(name)]

internal fun JsonObject.text(name: String): String? = (field(name) as? JsonPrimitive)?.contentOrNull

internal fun JsonObject.long(name: String): Long = field(name)?.jsonPrimitive?.content?.toLong() ?: 0

internal fun JsonObject.base64Bytes(name: String): ByteArray = Base64.getDecoder().decode(text(name).orEmpty())

internal fun JsonObject.objects(name: String): List<JsonObject> =
    (field(name) ?: JsonArray(emptyList())).jsonArray.map { it.jsonObject }

private fun camelCase(name: String): String =
    name.split('_').reduce { head, part -> head + part.replaceFirstChar(Char::uppercase) }
