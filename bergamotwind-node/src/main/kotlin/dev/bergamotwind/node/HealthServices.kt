package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService

/** Health endpoints for the load balancer. */
internal object HealthServices {
    /** Liveness: always succeeds while the process serves HTTP. */
    fun live(): HttpService = HttpService { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, "live") }

    /** Readiness: succeeds while the load balancer should send requests to this node. */
    fun ready(lifecycle: ProcessLifecycle): HttpService = HttpService { _, _ ->
        val status = if (lifecycle.isReady) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE
        HttpResponse.of(status, MediaType.PLAIN_TEXT_UTF_8, lifecycle.state)
    }
}
