package dev.bergamotwind.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyRange
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.Base64

/** Translates between the port's types and the JSON messages. */
internal object EtcdCodec {
    val json: Json = Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        coerceInputValues = true
    }

    /** Decodes [text], or fails with [Failure.Unavailable] when it is not what the protocol says. */
    inline fun <reified T> decode(text: String): Either<Failure, T> = try {
        json.decodeFromString<T>(text).right()
    } catch (malformed: SerializationException) {
        Failure.Unavailable("the answer of the key-value service is malformed: ${malformed.message}").left()
    }

    fun range(range: KeyRange): RangeRequest = RangeRequest(
        encode(maxOf(range.from, range.prefix)),
        endOfPrefix(range.prefix),
        limit = range.limit.takeIf { it > 0 }?.toString(),
        sortOrder = if (range.newestFirst) "DESCEND" else "ASCEND",
        sortTarget = "KEY",
    )

    fun watch(prefix: String, from: Revision): WatchRequest = WatchRequest(
        WatchCreateRequest(encode(prefix), endOfPrefix(prefix), from.value.toString()),
    )

    fun transaction(transaction: Transaction): TransactionRequest =
        TransactionRequest(transaction.compares.map(::compare), transaction.operations.map(::operation))

    fun entry(record: Record): KeyValueEntry = KeyValueEntry(
        decodeText(record.key),
        decodeText(record.value),
        Revision(record.createRevision.toLong()),
        Revision(record.modificationRevision.toLong()),
        record.lease.toLong().takeIf { it != 0L }?.let(::LeaseId),
    )

    fun encode(text: String): String = Base64.getEncoder().encodeToString(text.toByteArray())

    private fun compare(compare: Compare): CompareMessage {
        val key = encode(compare.key)
        return when (compare) {
            is Compare.Absent -> CompareMessage(key, "CREATE", "EQUAL", createRevision = "0")
            is Compare.CreatedAt -> CompareMessage(key, "CREATE", "EQUAL", createRevision = "${compare.revision}")
            is Compare.ModifiedAt -> CompareMessage(key, "MOD", "EQUAL", modificationRevision = "${compare.revision}")
        }
    }

    private fun operation(operation: Operation): OperationMessage = when (operation) {
        is Operation.Put -> OperationMessage(
            put = PutRequest(encode(operation.key), encode(operation.value), operation.lease?.toString()),
        )

        is Operation.Delete -> OperationMessage(delete = DeleteRequest(encode(operation.key)))
    }

    private fun decodeText(base64: String): String = String(Base64.getDecoder().decode(base64))

    // The first key after all keys with this prefix; a single zero byte means all keys.
    private fun endOfPrefix(prefix: String): String {
        val bytes = prefix.toByteArray()
        val last = bytes.indexOfLast { it != LARGEST_BYTE }
        val end = if (last < 0) byteArrayOf(0) else bytes.copyOf(last + 1).also { it[last]++ }
        return Base64.getEncoder().encodeToString(end)
    }

    private const val LARGEST_BYTE: Byte = -1
}
