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
import dev.bergamotwind.test.EtcdAnswer.header
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import kotlin.time.Duration.Companion.seconds

/** The calls of the etcd v3 JSON API over [store]. */
internal class EtcdApi(private val store: InMemoryKeyValueService) {
    private val service: KeyValueService = store.client()

    fun range(body: JsonObject): HttpResponse {
        val descending = body.text("sort_order") == "DESCEND"
        val matches = EtcdRequest.keyMatcher(body)
        val limit = body.long("limit").toInt()
        val listing = store.select(0, descending, matches)
        val shown = if (limit > 0) listing.entries.take(limit) else listing.entries
        return answer(listing.revision) {
            if (shown.isNotEmpty()) putJsonArray("kvs") { shown.forEach { add(EtcdAnswer.record(it)) } }
            if (shown.size < listing.entries.size) put("more", true)
            put("count", listing.entries.size.toString())
        }
    }

    fun transact(body: JsonObject): HttpResponse = service.transact(EtcdRequest.transaction(body)).answered { result ->
        answer(result.revision) { if (result.applied) put("succeeded", true) }
    }

    fun grant(body: JsonObject): HttpResponse {
        val seconds = body.long("TTL")
        return service.grantLease(seconds.seconds).answered { lease ->
            answer(Revision(1)) {
                put("ID", lease.value.toString())
                put("TTL", seconds.toString())
            }
        }
    }

    // The answer to a keep-alive of a lease that is gone has no TTL; it is not an error status.
    fun keepAlive(body: JsonObject): HttpResponse {
        val extended = service.keepAlive(LeaseId(body.long("ID"))).getOrNull()
        val result = buildJsonObject {
            putJsonObject("result") {
                header(1)
                put("ID", body.long("ID").toString())
                extended?.let { put("TTL", it.inWholeSeconds.toString()) }
            }
        }
        return answer(HttpStatus.OK, result)
    }

    fun revoke(body: JsonObject): HttpResponse =
        service.revokeLease(LeaseId(body.long("ID"))).answered { answer(Revision(1)) { } }

    fun watch(body: JsonObject): HttpResponse {
        val create =
            body.field("create_request")?.jsonObject ?: throw EtcdRequest.Unsupported("create_request is missing")
        val now = store.select(1, newestFirst = true) { false }.revision.value
        val from = create.long("start_revision").takeIf { it > 0 } ?: (now + 1)
        val stream = HttpResponse.streaming()
        stream.write(ResponseHeaders.of(HttpStatus.OK, HttpHeaderNames.CONTENT_TYPE, MediaType.JSON))
        stream.write(HttpData.ofUtf8(EtcdAnswer.watchResult(now) { put("created", true) }))
        val observed = store.observe(Revision(from), EtcdRequest.keyMatcher(create)) { changes ->
            changes.groupBy {
                it.revision
            }.values.forEach { stream.tryWrite(HttpData.ofUtf8(EtcdAnswer.watchEvents(it))) }
        }
        if (observed == null) {
            val cancelled = EtcdAnswer.watchResult(now) {
                put("canceled", true)
                put("compact_revision", now.toString())
            }
            stream.write(HttpData.ofUtf8(cancelled))
            stream.close()
        } else {
            stream.whenComplete().handle { _, _ -> observed.close() }
        }
        return stream
    }

    private fun <T> Either<Failure, T>.answered(success: (T) -> HttpResponse): HttpResponse = fold({ failure ->
        if (failure is Failure.LeaseExpired) {
            EtcdAnswer.failure(HttpStatus.NOT_FOUND, EtcdAnswer.CODE_NOT_FOUND, "etcdserver: requested lease not found")
        } else {
            EtcdAnswer.failure(HttpStatus.BAD_REQUEST, EtcdAnswer.CODE_INVALID, "etcdserver: ${failure.message}")
        }
    }, success)

    private fun answer(revision: Revision, fill: JsonObjectBuilder.() -> Unit): HttpResponse = answer(
        HttpStatus.OK,
        buildJsonObject {
            header(revision.value)
            fill()
        },
    )

    private fun answer(status: HttpStatus, body: JsonObject): HttpResponse =
        HttpResponse.of(status, MediaType.JSON, body.toString())
}
