package dev.bergamotwind.test

import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import java.util.Arrays

/** Reads requests of the etcd v3 JSON API. Field names are accepted in snake case and in camel case. */
internal object EtcdRequest {
    class Unsupported(message: String) : RuntimeException(message)

    /** The selection of `key` and `range_end` in byte order. */
    fun keyMatcher(request: JsonObject): (String) -> Boolean {
        val key = request.bytes("key")
        val end = request.bytes("range_end")
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

    fun transaction(request: JsonObject): Transaction =
        Transaction(request.objects("compare").map(::compare), request.objects("success").map(::operation))

    private fun compare(compare: JsonObject): Compare {
        if ((compare.text("result") ?: "EQUAL") !in listOf("EQUAL", "0")) throw Unsupported("only EQUAL is supported")
        val key = String(compare.bytes("key"))
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

    private fun operation(operation: JsonObject): Operation {
        val put = operation.field("request_put")?.jsonObject
        val delete = operation.field("request_delete_range")?.jsonObject
        return when {
            put != null -> Operation.Put(
                String(put.bytes("key")),
                String(put.bytes("value")),
                put.long("lease").takeIf { it != 0L }?.let(::LeaseId),
            )

            delete != null && delete.bytes("range_end").isEmpty() -> Operation.Delete(String(delete.bytes("key")))

            else -> throw Unsupported("only puts and deletes of one key are supported")
        }
    }
}
