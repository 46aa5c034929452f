package dev.bergamotwind.test

import arrow.core.Either
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.test.EtcdResponses.putHeader
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import kotlin.time.Duration.Companion.seconds

/** Handles the calls of the etcd v3 JSON API on [store]. */
internal class EtcdApi(private val store: InMemoryKeyValueService) {
    private val service: KeyValueService = store.client()

    fun range(body: JsonObject): HttpResponse {
        val descending = body.text("sort_order") == "DESCEND"
        val matches = EtcdRequest.keyMatcher(body)
        val limit = body.long("limit").toInt()
        val listing = store.listMatching(0, descending, matches)
        val returned = if (limit > 0) listing.entries.take(limit) else listing.entries
        return jsonResponse(listing.revision) {
            if (returned.isNotEmpty()) putJsonArray("kvs") { returned.forEach { add(EtcdResponses.keyValueJson(it)) } }
            if (returned.size < listing.entries.size) put("more", true)
            put("count", listing.entries.size.toString())
        }
    }

    fun transact(body: JsonObject): HttpResponse =
        service.transact(EtcdRequest.parseTransaction(body)).toResponse { result ->
            jsonResponse(result.revision) { if (result.applied) put("succeeded", true) }
        }

    fun grantLease(body: JsonObject): HttpResponse {
        val seconds = body.long("TTL")
        return service.grantLease(seconds.seconds).toResponse { lease ->
            jsonResponse(Revision(1)) {
                put("ID", lease.value.toString())
                put("TTL", seconds.toString())
            }
        }
    }

    // For a lease that expired, etcd returns a keep-alive response without TTL instead of an error status.
    fun keepAlive(body: JsonObject): HttpResponse {
        val extended = service.keepAlive(LeaseId(body.long("ID"))).getOrNull()
        val result = buildJsonObject {
            putJsonObject("result") {
                putHeader(1)
                put("ID", body.long("ID").toString())
                extended?.let { put("TTL", it.inWholeSeconds.toString()) }
            }
        }
        return jsonResponse(HttpStatus.OK, result)
    }

    fun revokeLease(body: JsonObject): HttpResponse =
        service.revokeLease(LeaseId(body.long("ID"))).toResponse { jsonResponse(Revision(1)) { } }

    fun watch(body: JsonObject): HttpResponse {
        val create =
            body.field("create_request")?.jsonObject ?: throw EtcdRequest.Unsupported("create_request is missing")
        val now = store.listMatching(1, newestFirst = true) { false }.revision.value
        val from = create.long("start_revision").takeIf { it > 0 } ?: (now + 1)
        val stream = HttpResponse.streaming()
        stream.write(ResponseHeaders.of(HttpStatus.OK, HttpHeaderNames.CONTENT_TYPE, MediaType.JSON))
        stream.write(HttpData.ofUtf8(EtcdResponses.watchResponse(now) { put("created", true) }))
        val subscription = store.subscribe(Revision(from), EtcdRequest.keyMatcher(create)) { changes ->
            changes.groupBy {
                it.revision
            }.values.forEach { stream.tryWrite(HttpData.ofUtf8(EtcdResponses.watchEventsResponse(it))) }
        }
        if (subscription == null) {
            val cancelled = EtcdResponses.watchResponse(now) {
                put("canceled", true)
                put("compact_revision", now.toString())
            }
            stream.write(HttpData.ofUtf8(cancelled))
            stream.close()
        } else {
            stream.whenComplete().handle { _, _ -> subscription.close() }
        }
        return stream
    }

    private fun <T> Either<Failure, T>.toResponse(success: (T) -> HttpResponse): HttpResponse = fold({ failure ->
        if (failure is Failure.LeaseExpired) {
            val message = "etcdserver: requested lease not found"
            EtcdResponses.error(HttpStatus.NOT_FOUND, EtcdResponses.CODE_NOT_FOUND, message)
        } else {
            EtcdResponses.error(HttpStatus.BAD_REQUEST, EtcdResponses.CODE_INVALID, "etcdserver: ${failure.message}")
        }
    }, success)

    private fun jsonResponse(revision: Revision, putContent: JsonObjectBuilder.() -> Unit): HttpResponse = jsonResponse(
        HttpStatus.OK,
        buildJsonObject {
            putHeader(revision.value)
            putContent()
        },
    )

    private fun jsonResponse(status: HttpStatus, body: JsonObject): HttpResponse =
        HttpResponse.of(status, MediaType.JSON, body.toString())
}
