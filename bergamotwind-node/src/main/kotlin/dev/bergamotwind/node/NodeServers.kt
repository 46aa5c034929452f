package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.TlsKeyPair
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.docs.DocService
import dev.bergamotwind.configuration.NodeSettings
import dev.bergamotwind.routing.SharedRuns
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.net.InetSocketAddress
import java.time.Duration

/** Builds the HTTP servers of a node. */
internal class NodeServers(private val settings: NodeSettings, private val dependencies: HandlerDependencies) {
    /** Builds the server for callers and the load balancer. */
    fun callerServer(): Server {
        val runs = SharedRuns<String>({ it.length })
        return builder(settings.listen.callerPort)
            .maxRequestLength(settings.limits.maximumBodyBytes)
            .service("/v1/chat/completions", CompletionHandler(dependencies, runs, chat = true))
            .service("/v1/completions", CompletionHandler(dependencies, runs, chat = false))
            .service("/v1/models", ModelsHandler(dependencies))
            .serviceUnder("/services", PlainServiceHandler(dependencies))
            .service("/health/live", HealthServices.live())
            .service("/health/ready", HealthServices.ready(dependencies.lifecycle))
            .build()
    }

    /** Builds the server for operators. */
    fun administrationServer(api: AdministrationApi, registry: PrometheusMeterRegistry): Server {
        val authenticator = OperatorAuthenticator(settings.administrationCredential)
        val metrics = HttpService { _, _ -> HttpResponse.of(MediaType.PLAIN_TEXT_UTF_8, registry.scrape()) }
        return builder(settings.listen.administrationPort)
            .annotatedService().pathPrefix("/administration/v1").decorator(authenticator).build(api)
            .service("/metrics", metrics)
            .serviceUnder("/documentation", DocService())
            .build()
    }

    private fun builder(port: Int): ServerBuilder {
        val builder = Server.builder()
            .errorHandler(JsonErrorHandler)
            .requestTimeout(Duration.ofMillis(settings.limits.requestTimeout.inWholeMilliseconds))
            // The node finishes or refuses all requests before it stops its servers.
            .gracefulShutdownTimeoutMillis(0, SHUTDOWN_TIMEOUT_MILLIS)
        for (address in settings.listen.addresses) {
            val socket = InetSocketAddress(address, port)
            if (settings.tls == null) builder.http(socket) else builder.https(socket)
        }
        settings.tls?.let { builder.tls(TlsKeyPair.of(it.key.toFile(), it.certificate.toFile())) }
        return builder
    }

    private companion object {
        const val SHUTDOWN_TIMEOUT_MILLIS = 1_000L
    }
}
