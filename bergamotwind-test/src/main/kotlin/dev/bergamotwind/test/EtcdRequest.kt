package dev.bergamotwind.test

import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import java.util.Arrays

/** Parses requests of the etcd v3 JSON API. Field names are accepted in snake case and in camel case. */
internal object EtcdRequest {
    class Unsupported(message: String) : RuntimeException(message)

    /** Returns a predicate for the key range from `key` to `range_end` in byte order, as etcd defines it. */
    fun keyMatcher(request: JsonObject): (String) -> Boolean {
        val key = request.base64Bytes("key")
        val end = request.base64Bytes("range_end")
        return when {
            end.isEmpty() -> { candidate -> candidate == String(key) }

            end.contentEquals(byteArrayOf(0)) -> { candidate ->
                Arrays.compareUnsigned(candidate.toByteArray(), key) >=
                    0
            }

            else -> { candidate ->
                val bytes = candidate.toByteArray()
                Arrays.compareUnsigned(bytes, key) >= 0 && Arrays.compareUnsigned(bytes, end) < 0
            }
        }
    }

    fun parseTransaction(request: JsonObject): Transaction =
        Transaction(request.objects("compare").map(::parseCompare), request.objects("success").map(::parseOperation))

    private fun parseCompare(compare: JsonObject): Compare {
        if ((compare.text("result") ?: "EQUAL") !in listOf("EQUAL", "0")) throw Unsupported("only EQUAL is supported")
        val key = String(compare.base64Bytes("key"))
        return when (compare.text("target")) {
            "CREATE" -> compare.long("create_revision").let {
                if (it == 0L) Compare.Absent(key) else Compare.CreatedAt(key, Revision(it))
            }

            "MOD" -> compare.long("mod_revision").let {
                if (it == 0L) Compare.Absent(key) else Compare.ModifiedAt(key, Revision(it))
            }

            else -> throw Unsupported("only CREATE and MOD are supported")
        }
    }

    private fun parseOperation(operation: JsonObject): Operation {
        val put = operation.field("request_put")?.jsonObject
        val delete = operation.field("request_delete_range")?.jsonObject
        return when {
            put != null -> Operation.Put(
                String(put.base64Bytes("key")),
                String(put.base64Bytes("value")),
                put.long("lease").takeIf { it != 0L }?.let(::LeaseId),
            )

            delete != null && delete.base64Bytes("range_end").isEmpty() ->
                Operation.Delete(String(delete.base64Bytes("key")))

            else -> throw Unsupported("only puts and deletes of one key are supported")
        }
    }
}
