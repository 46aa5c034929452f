package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.RequestHeadersBuilder
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.ResponseHeadersBuilder
import dev.bergamotwind.api.RequestId
import io.netty.util.AsciiString

/** Allow lists of the headers forwarded between callers and targets; an unknown header may hold a credential. */
internal object ForwardedHeaders {
    private val requestHeaders: Set<AsciiString> = setOf(
        HttpHeaderNames.ACCEPT,
        HttpHeaderNames.ACCEPT_LANGUAGE,
        HttpHeaderNames.CONTENT_TYPE,
        HttpHeaderNames.IF_MATCH,
        HttpHeaderNames.IF_NONE_MATCH,
        AsciiString.cached("idempotency-key"),
    )

    private val responseHeaders: Set<AsciiString> = setOf(
        HttpHeaderNames.CONTENT_TYPE,
        HttpHeaderNames.CACHE_CONTROL,
        HttpHeaderNames.ETAG,
        HttpHeaderNames.LAST_MODIFIED,
        HttpHeaderNames.LOCATION,
    )

    /** Returns the headers for a target: [path], [id], and the allowed [received] headers without [credential]. */
    fun toTarget(received: RequestHeaders, path: String, id: RequestId, credential: String?): RequestHeaders {
        val builder: RequestHeadersBuilder = RequestHeaders.builder(received.method(), path)
        for (name in requestHeaders) {
            received.getAll(name).filterNot { credential != null && it.contains(credential) }
                .forEach { builder.add(name, it) }
        }
        return builder.add("x-request-id", id.value).build()
    }

    /** Returns the headers for the caller: the allowed [received] headers and the request [id]. */
    fun toCaller(received: ResponseHeaders, id: RequestId): ResponseHeaders {
        val builder: ResponseHeadersBuilder = ResponseHeaders.builder(received.status())
        for (name in responseHeaders) received.getAll(name).forEach { builder.add(name, it) }
        return builder.add("x-request-id", id.value).build()
    }
}
