package dev.bergamotwind.node

import dev.bergamotwind.admission.AdmissionController
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.core.ReportingInvariantMonitor
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import kotlin.time.DurationUnit

/** Registers the gauges of a node. */
internal class NodeMetrics(
    private val registry: MeterRegistry,
    private val admission: AdmissionController,
    private val exchanges: ActiveExchanges,
    private val applied: AppliedConfiguration,
    private val monitor: ReportingInvariantMonitor,
    private val clock: Clock,
) {
    /** Registers all gauges. */
    fun register() {
        JvmMemoryMetrics().bindTo(registry)
        gauge("bergamotwind.requests.active") { exchanges.size.toDouble() }
        gauge("bergamotwind.queue.length") { admission.snapshot.queueLength.toDouble() }
        gauge("bergamotwind.requests.running") { admission.snapshot.running.toDouble() }
        gauge("bergamotwind.configuration.revision") { applied.current.revision.value.toDouble() }
        gauge("bergamotwind.configuration.freshness.seconds") {
            applied.freshnessAge(clock.monotonicNanos()).toDouble(DurationUnit.SECONDS)
        }
        for (invariant in Invariant.entries) {
            Gauge.builder("bergamotwind.invariant.violations") { monitor.violations(invariant).toDouble() }
                .tag("invariant", invariant.name).register(registry)
        }
    }

    private fun gauge(name: String, value: () -> Double) {
        Gauge.builder(name, value).register(registry)
    }
}
