package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RunOutcome
import kotlinx.coroutines.future.await

/** The answer to one caller. It ends whole, with an error event or broken off, but never falsely whole. */
internal class CallerResponse(private val writer: HttpResponseWriter, private val request: RequestId) {
    /** Whether the head has been sent. */
    var begun: Boolean = false
        private set

    /** Sends a whole answer. */
    fun whole(headers: ResponseHeaders, body: HttpData) {
        begin(headers)
        if (!body.isEmpty) writer.tryWrite(body)
        writer.close()
    }

    /** Sends the head of a streamed answer. */
    fun begin(headers: ResponseHeaders) {
        if (begun) return
        begun = true
        writer.tryWrite(headers)
    }

    /** Sends the head of an event stream. */
    fun beginEvents(): Unit = begin(
        ResponseHeaders.builder(HttpStatus.OK)
            .contentType(MediaType.EVENT_STREAM)
            .add(HttpHeaderNames.CACHE_CONTROL, "no-store")
            .add("x-request-id", request.value)
            .build(),
    )

    /** Sends a part of a streamed answer and waits until the caller has taken it. */
    suspend fun write(data: String) {
        if (writer.tryWrite(HttpData.ofUtf8(data))) writer.whenConsumed().await()
    }

    /** Ends a streamed answer that is whole. */
    fun close(): Unit = writer.close()

    /** Ends with [failure]: as an answer of its own, or as an error event if the answer has begun. */
    fun fail(failure: Failure, run: RunOutcome = failure.run) {
        if (begun) {
            writer.tryWrite(HttpData.ofUtf8("event: error\ndata: ${ErrorResponses.json(failure, run)}\n\n"))
            writer.close()
        } else {
            begun = true
            ErrorResponses.write(writer, failure, request, run)
        }
    }
}
