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

/** Writes answers of the etcd v3 JSON API: 64-bit integers are strings, and fields with the value zero are left out. */
internal object EtcdAnswer {
    // Error codes of gRPC, which the JSON API puts into the field "code".
    const val CODE_INVALID = 3
    const val CODE_NOT_FOUND = 5
    const val CODE_UNIMPLEMENTED = 12
    const val CODE_UNAVAILABLE = 14

    fun record(entry: KeyValueEntry): JsonObject = buildJsonObject {
        put("key", encode(entry.key))
        put("create_revision", entry.createRevision.value.toString())
        put("mod_revision", entry.modificationRevision.value.toString())
        put("version", "1")
        if (entry.value.isNotEmpty()) put("value", encode(entry.value))
        entry.lease?.let { put("lease", it.value.toString()) }
    }

    fun event(change: KeyValueChange): JsonObject = buildJsonObject {
        val entry = change.entry
        if (entry == null) {
            put("type", "DELETE")
            putJsonObject("kv") {
                put("key", encode(change.key))
                put("mod_revision", change.revision.toString())
            }
        } else {
            put("kv", record(entry))
        }
    }

    fun watchResult(revision: Long, fill: JsonObjectBuilder.() -> Unit): String = buildJsonObject {
        putJsonObject("result") {
            header(revision)
            fill()
        }
    }.toString() + "\n"

    fun watchEvents(changes: List<KeyValueChange>): String = watchResult(changes.last().revision) {
        putJsonArray("events") { changes.forEach { add(event(it)) } }
    }

    fun failure(status: HttpStatus, code: Int, message: String): HttpResponse {
        val body = buildJsonObject {
            put("error", message)
            put("code", code)
            put("message", message)
        }
        return HttpResponse.of(status, MediaType.JSON, body.toString())
    }

    fun JsonObjectBuilder.header(revision: Long) {
        putJsonObject("header") {
            put("cluster_id", "1")
            put("member_id", "1")
            put("revision", revision.toString())
            put("raft_term", "1")
        }
    }

    private fun encode(text: String): String = Base64.getEncoder().encodeToString(text.toByteArray())
}
