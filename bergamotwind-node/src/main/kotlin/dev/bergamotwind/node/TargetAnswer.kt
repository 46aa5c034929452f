package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.stream.StreamMessage
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.reactive.asFlow

/** Head and body of a target's answer. */
internal class TargetAnswer(
    val headers: ResponseHeaders,
    private val body: StreamMessage<HttpData>,
    private val response: HttpResponse,
) {
    /** Whether the target refuses work because it is leaving. */
    val isDraining: Boolean get() = headers.status().code() == SERVICE_UNAVAILABLE && headers.contains("x-draining")

    /** The body; fails if the connection ends before it is whole. */
    fun body(): Flow<HttpData> = body.asFlow()

    /** Cancels the request at the target. */
    fun abort(): Unit = response.abort()

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
    }
}
