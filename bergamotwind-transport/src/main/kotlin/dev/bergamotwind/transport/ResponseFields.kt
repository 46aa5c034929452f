package dev.bergamotwind.transport

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil

private const val MILLIS_PER_SECOND = 1_000L
private val TIMEOUT = Regex("timeout=(\\d+)")

/** True when the end of the body is stated, and is not that of the connection. */
internal val HttpResponse.statesItsEnd: Boolean
    get() = HttpUtil.isContentLengthSet(this) || HttpUtil.isTransferEncodingChunked(this)

/** Milliseconds after which the other side closes the idle connection, or null if it does not state them. */
internal val HttpResponse.statedIdleMillis: Long?
    get() = headers().get("Keep-Alive")?.let(TIMEOUT::find)?.groupValues?.get(1)?.toLongOrNull()
        ?.times(MILLIS_PER_SECOND)
