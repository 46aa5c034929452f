// The requests and answers of the etcd v3 JSON API that are used here, with the published field names.
@file:Suppress("MatchingDeclarationName")

package dev.bergamotwind.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal data class ResponseHeader(val revision: String = "0")

@Serializable
internal data class RangeRequest(
    val key: String,
    @SerialName("range_end") val rangeEnd: String? = null,
    val limit: String? = null,
    @SerialName("sort_order") val sortOrder: String? = null,
    @SerialName("sort_target") val sortTarget: String? = null,
)

@Serializable
internal data class Record(
    val key: String = "",
    val value: String = "",
    @SerialName("create_revision") val createRevision: String = "0",
    @SerialName("mod_revision") val modificationRevision: String = "0",
    val lease: String = "0",
)

@Serializable
internal data class RangeResponse(val header: ResponseHeader = ResponseHeader(), val kvs: List<Record> = emptyList())

@Serializable
internal data class CompareMessage(
    val key: String,
    val target: String,
    val result: String,
    @SerialName("create_revision") val createRevision: String? = null,
    @SerialName("mod_revision") val modificationRevision: String? = null,
)

@Serializable
internal data class PutRequest(val key: String, val value: String, val lease: String? = null)

@Serializable
internal data class DeleteRequest(val key: String)

@Serializable
internal data class OperationMessage(
    @SerialName("request_put") val put: PutRequest? = null,
    @SerialName("request_delete_range") val delete: DeleteRequest? = null,
)

@Serializable
internal data class TransactionRequest(val compare: List<CompareMessage>, val success: List<OperationMessage>)

@Serializable
internal data class TransactionResponse(val header: ResponseHeader = ResponseHeader(), val succeeded: Boolean = false)

@Serializable
internal data class LeaseMessage(
    @SerialName("ID") val id: String = "0",
    @SerialName("TTL") val timeToLiveSeconds: String? = null,
)

@Serializable
internal data class KeepAliveResponse(val result: LeaseMessage = LeaseMessage())

@Serializable
internal data class WatchCreateRequest(
    val key: String,
    @SerialName("range_end") val rangeEnd: String,
    @SerialName("start_revision") val startRevision: String,
)

@Serializable
internal data class WatchRequest(@SerialName("create_request") val create: WatchCreateRequest)

@Serializable
internal data class WatchEvent(val type: String = "PUT", val kv: Record = Record())

@Serializable
internal data class WatchResult(
    val created: Boolean = false,
    val canceled: Boolean = false,
    val events: List<WatchEvent> = emptyList(),
)

@Serializable
internal data class WatchResponse(val result: WatchResult? = null)
