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

    /**
     * It names none of several requests, several of them, or another one than the only request of the connection; or
     * the first line of another answer stands within its head.
     */
    UNKNOWN,
    ;

    companion object {
        /** Returns the origin of [response], which arrives while [request] waits for an answer. */
        fun of(response: HttpResponse, request: OutgoingRequest, isOnlyRequest: Boolean): AnswerOrigin {
            val expected = request.echoedHeader
            val named = expected?.let { response.headers().getAll(it.name) }.orEmpty()
            return when {
                isJoined(response) -> UNKNOWN
                named.isEmpty() -> if (isOnlyRequest) ONLY_REQUEST else UNKNOWN
                named.all { it == expected?.value } -> NAMED
                named.any { it == expected?.value } || named.distinct().size > 1 -> UNKNOWN
                else -> if (isOnlyRequest) UNKNOWN else OTHER_REQUEST
            }
        }

        /** True when an answer that broke off has been joined with the next one. */
        private fun isJoined(response: HttpResponse): Boolean = FIRST_LINE in response.status().reasonPhrase() ||
            response.headers().any { (name, value) -> PROTOCOL in name || FIRST_LINE in value }

        /** No name of a header holds it. */
        private const val PROTOCOL = "HTTP/"
        private val FIRST_LINE = Regex("HTTP/\\d\\.\\d \\d{3}")
    }
}
