package dev.bergamotwind.test

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import dev.bergamotwind.api.KeyValueEntry
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.util.Base64

/** Builds responses of the etcd v3 JSON API: 64-bit integers are strings, and fields with the value 0 are omitted. */
internal object EtcdResponses {
    // gRPC status codes, which the JSON API returns in the field "code".
    const val CODE_INVALID = 3
    const val CODE_NOT_FOUND = 5
    const val CODE_UNIMPLEMENTED = 12
    const val CODE_UNAVAILABLE = 14

    fun keyValueJson(entry: KeyValueEntry): JsonObject = buildJsonObject {
        put("key", encodeBase64(entry.key))
        put("create_revision", entry.createRevision.value.toString())
        put("mod_revision", entry.modificationRevision.value.toString())
        put("version", "1")
        if (entry.value.isNotEmpty()) put("value", encodeBase64(entry.value))
        entry.lease?.let { put("lease", it.value.toString()) }
    }

    fun eventJson(change: KeyValueChange): JsonObject = buildJsonObject {
        val entry = change.entry
        if (entry == null) {
            put("type", "DELETE")
            putJsonObject("kv") {
                put("key", encodeBase64(change.key))
                put("mod_revision", change.revision.toString())
            }
        } else {
            put("kv", keyValueJson(entry))
        }
    }

    fun watchResponse(revision: Long, putContent: JsonObjectBuilder.() -> Unit): String = buildJsonObject {
        putJsonObject("result") {
            putHeader(revision)
            putContent()
        }
    }.toString() + "\n"

    fun watchEventsResponse(changes: List<KeyValueChange>): String = watchResponse(changes.last().revision) {
        putJsonArray("events") { changes.forEach { add(eventJson(it)) } }
    }

    fun error(status: HttpStatus, code: Int, message: String): HttpResponse {
        val body = buildJsonObject {
            put("error", message)
            put("code", code)
            put("message", message)
        }
        return HttpResponse.of(status, MediaType.JSON, body.toString())
    }

    fun JsonObjectBuilder.putHeader(revision: Long) {
        putJsonObject("header") {
            put("cluster_id", "1")
            put("member_id", "1")
            put("revision", revision.toString())
            put("raft_term", "1")
        }
    }

    private fun encodeBase64(text: String): String = Base64.getEncoder().encodeToString(text.toByteArray())
}
