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

/** The response to one caller. An incomplete response ends with an error event or is cut off, never as if complete. */
internal class CallerResponse(private val writer: HttpResponseWriter, private val request: RequestId) {
    /** Whether the headers have been sent. */
    var headersSent: Boolean = false
        private set

    /** Sends a complete response. */
    fun sendComplete(headers: ResponseHeaders, body: HttpData) {
        sendHeaders(headers)
        if (!body.isEmpty) writer.tryWrite(body)
        writer.close()
    }

    /** Sends the headers, unless they have been sent. */
    fun sendHeaders(headers: ResponseHeaders) {
        if (headersSent) return
        headersSent = true
        writer.tryWrite(headers)
    }

    /** Sends the headers of an event stream, unless headers have been sent. */
    fun beginEventStream(): Unit = sendHeaders(
        ResponseHeaders.builder(HttpStatus.OK)
            .contentType(MediaType.EVENT_STREAM)
            .add(HttpHeaderNames.CACHE_CONTROL, "no-store")
            .add("x-request-id", request.value)
            .build(),
    )

    /** Writes [data] to a streamed response and suspends until it has been consumed. */
    suspend fun write(data: String) {
        if (writer.tryWrite(HttpData.ofUtf8(data))) writer.whenConsumed().await()
    }

    /** Ends a streamed response that is complete. */
    fun close(): Unit = writer.close()

    /** Ends with [failure]: as an error response, or as an error event if the headers have been sent. */
    fun fail(failure: Failure, run: RunOutcome = failure.run) {
        if (headersSent) {
            writer.tryWrite(HttpData.ofUtf8("event: error\ndata: ${ErrorResponses.json(failure, run)}\n\n"))
            writer.close()
        } else {
            headersSent = true
            ErrorResponses.write(writer, failure, request, run)
        }
    }
}
