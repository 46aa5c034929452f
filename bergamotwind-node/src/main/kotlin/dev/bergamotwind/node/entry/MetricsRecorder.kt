package dev.bergamotwind.node.entry

import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.serving.crash.PromptPartStatus
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger

/** Counts events by kind and outcome, records the duration of requests, and forwards the events to [delegate]. */
internal class MetricsRecorder(private val delegate: EventRecorder) : EventRecorder {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val suspectedParts = registry.gauge("bergamotwind.prompt.parts.suspected", AtomicInteger())
    private val refusedParts = registry.gauge("bergamotwind.prompt.parts.refused", AtomicInteger())

    override fun record(kind: EventKind, request: RequestId?, fields: List<EventField>) {
        delegate.record(kind, request, fields)
        val outcome = fields.value("outcome") ?: "none"
        registry.counter("bergamotwind.events", "kind", kind.value, "outcome", outcome).increment()
        if (kind == REQUEST_ENDED) fields.value("millis")?.toLongOrNull()?.let { recordDuration(outcome, it) }
    }

    /** Returns all metrics in the Prometheus text format, with the number of [promptParts]. */
    fun scrape(promptParts: List<PromptPartStatus>): String {
        suspectedParts.set(promptParts.size)
        refusedParts.set(promptParts.count { it.isRefused })
        return registry.scrape()
    }

    private fun recordDuration(outcome: String, millis: Long): Unit = Timer.builder("bergamotwind.request.duration")
        .tag("outcome", outcome)
        .serviceLevelObjectives(*HISTOGRAM_BOUNDS_MILLIS.map { Duration.ofMillis(it) }.toTypedArray())
        .register(registry)
        .record(Duration.ofMillis(millis))

    private fun List<EventField>.value(key: String) = firstOrNull { it.key == key }?.value

    private companion object {
        val REQUEST_ENDED = EventKind("request.ended")

        /** Bounds of the duration histogram in milliseconds, around the target latencies of the routes. */
        val HISTOGRAM_BOUNDS_MILLIS = listOf(50L, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000)
    }
}
