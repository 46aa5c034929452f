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
    private val activeRequests: ActiveRequests,
    private val appliedConfiguration: AppliedConfiguration,
    private val monitor: ReportingInvariantMonitor,
    private val clock: Clock,
) {
    /** Registers all gauges. */
    fun register() {
        JvmMemoryMetrics().bindTo(registry)
        registerGauge("bergamotwind.requests.active") { activeRequests.size.toDouble() }
        registerGauge("bergamotwind.queue.length") { admission.snapshot.queueLength.toDouble() }
        registerGauge("bergamotwind.requests.running") { admission.snapshot.running.toDouble() }
        registerGauge("bergamotwind.configuration.revision") { appliedConfiguration.current.revision.value.toDouble() }
        registerGauge("bergamotwind.configuration.freshness.seconds") {
            appliedConfiguration.freshnessAge(clock.monotonicNanos()).toDouble(DurationUnit.SECONDS)
        }
        for (invariant in Invariant.entries) {
            Gauge.builder("bergamotwind.invariant.violations") { monitor.violations(invariant).toDouble() }
                .tag("invariant", invariant.name).register(registry)
        }
    }

    private fun registerGauge(name: String, value: () -> Double) {
        Gauge.builder(name, value).register(registry)
    }
}
