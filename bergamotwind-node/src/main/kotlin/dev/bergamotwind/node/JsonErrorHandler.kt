package dev.bergamotwind.node

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServerErrorHandler
import com.linecorp.armeria.server.ServiceConfig
import com.linecorp.armeria.server.ServiceRequestContext
import dev.bergamotwind.api.Failure

/** Renders errors that the HTTP server detects before a handler runs with the same JSON body as all other errors. */
internal object JsonErrorHandler : ServerErrorHandler {
    override fun onServiceException(context: ServiceRequestContext, cause: Throwable): HttpResponse? = null

    override fun renderStatus(
        context: ServiceRequestContext?,
        config: ServiceConfig,
        headers: RequestHeaders?,
        status: HttpStatus,
        description: String?,
        cause: Throwable?,
    ): AggregatedHttpResponse {
        val failure = failureFor(status, description)
        val head = ResponseHeaders.of(status).toBuilder().contentType(MediaType.JSON).build()
        return AggregatedHttpResponse.of(head, HttpData.ofUtf8(ErrorResponses.json(failure)))
    }

    private fun failureFor(status: HttpStatus, description: String?): Failure = when (status) {
        HttpStatus.NOT_FOUND -> Failure.NotFound("there is no such path", "See the list of paths in the documentation.")

        HttpStatus.REQUEST_ENTITY_TOO_LARGE ->
            Failure.Invalid("the body is too large", "Send a smaller body.", status.code(), "body_too_large")

        else -> Failure.Invalid(
            description ?: status.reasonPhrase(),
            "Send a request as the documentation describes it.",
            status.code(),
        )
    }
}
