package dev.bergamotwind.platform

import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Duration, errors and budget refusals per call kind, and the number of open watches. */
internal class PlatformMetrics(private val registry: MeterRegistry) {
    private val watches = registry.gauge("bergamotwind.platform.watches", AtomicInteger())

    fun answered(kind: CallKind, nanos: Long) =
        registry.timer("bergamotwind.platform.calls", "kind", kind.label).record(nanos, TimeUnit.NANOSECONDS)

    fun failed(kind: CallKind, code: String) =
        registry.counter("bergamotwind.platform.errors", "kind", kind.label, "code", code).increment()

    fun refused(kind: CallKind) =
        registry.counter("bergamotwind.platform.budget.refusals", "kind", kind.label).increment()

    fun watchOpened() {
        watches.incrementAndGet()
    }

    fun watchClosed() {
        watches.decrementAndGet()
    }
}
