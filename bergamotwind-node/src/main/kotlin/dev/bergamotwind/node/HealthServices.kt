package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService

/** Answers for the load balancer. */
internal object HealthServices {
    /** Whether the process works at all. */
    fun live(): HttpService = HttpService { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, "live") }

    /** Whether requests should be sent here. */
    fun ready(life: ProcessLife): HttpService = HttpService { _, _ ->
        val status = if (life.isReady) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE
        HttpResponse.of(status, MediaType.PLAIN_TEXT_UTF_8, life.state)
    }
}
