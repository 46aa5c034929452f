package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.configuration.ConfigurationJson
import dev.bergamotwind.configuration.ErrorBody
import dev.bergamotwind.configuration.ErrorResponse
import kotlin.math.ceil
import kotlin.time.DurationUnit

/** Renders failures as HTTP answers. */
internal object ErrorResponses {
    /** Answer for [failure]; [run] overrides what the failure itself knows about execution. */
    fun of(failure: Failure, run: RunOutcome = failure.run): HttpResponse =
        HttpResponse.of(headers(failure, null), HttpData.ofUtf8(json(failure, run)))

    /** Writes the answer for [failure] to [writer] and ends it. */
    fun write(writer: HttpResponseWriter, failure: Failure, request: RequestId, run: RunOutcome) {
        if (writer.tryWrite(headers(failure, request))) writer.tryWrite(HttpData.ofUtf8(json(failure, run)))
        writer.close()
    }

    private fun headers(failure: Failure, request: RequestId?): ResponseHeaders {
        val headers = ResponseHeaders.builder(HttpStatus.valueOf(failure.status)).contentType(MediaType.JSON)
        failure.retryAfter?.let {
            val seconds = ceil(it.toDouble(DurationUnit.SECONDS)).toLong().coerceAtLeast(1)
            headers.add(HttpHeaderNames.RETRY_AFTER, seconds.toString())
        }
        request?.let { headers.add("x-request-id", it.value) }
        return headers.build()
    }

    /** The error body as JSON. */
    fun json(failure: Failure, run: RunOutcome = failure.run): String {
        val body = ErrorResponse(ErrorBody(failure.code, failure.message, failure.remedy, run))
        return ConfigurationJson.encodeToString(body)
    }
}
