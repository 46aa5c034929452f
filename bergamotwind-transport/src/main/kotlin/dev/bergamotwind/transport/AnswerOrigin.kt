package dev.bergamotwind.transport

import io.netty.handler.codec.http.HttpResponse

/** What an answer on a connection shows about the request to which it belongs. */
internal enum class AnswerOrigin {
    /** It names the request that waits for an answer. */
    NAMED,

    /** It names no request, and the connection has carried only the one that waits. */
    ONLY_REQUEST,

    /** It names a request other than the one that waits, on a connection that has carried others. */
    OTHER_REQUEST,

    /** It names none of several requests, or another one than the only request of the connection. */
    UNKNOWN,
    ;

    companion object {
        /** Returns the origin of [response], which arrives while [request] waits for an answer. */
        fun of(response: HttpResponse, request: OutgoingRequest, isOnlyRequest: Boolean): AnswerOrigin {
            val expected = request.echoedHeader
            val named = expected?.let { response.headers().getAll(it.name) }.orEmpty()
            return when {
                named.isEmpty() -> if (isOnlyRequest) ONLY_REQUEST else UNKNOWN
                named.all { it == expected?.value } -> NAMED
                else -> if (isOnlyRequest) UNKNOWN else OTHER_REQUEST
            }
        }
    }
}
