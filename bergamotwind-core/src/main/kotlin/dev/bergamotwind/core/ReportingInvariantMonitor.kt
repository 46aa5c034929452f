package dev.bergamotwind.core

import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicLongArray

private val logger = KotlinLogging.logger {}

/** Counts violations, logs them and records them on the time line. Stays on in production. */
public class ReportingInvariantMonitor(private val recorder: EventRecorder) : InvariantMonitor {
    private val violations = AtomicLongArray(Invariant.entries.size)

    override fun check(invariant: Invariant, holds: Boolean, detail: () -> String) {
        if (holds) return
        violations.incrementAndGet(invariant.ordinal)
        val text = detail()
        logger.error { "event=invariant.violated invariant=${invariant.name} $text" }
        val fields = listOf(EventField("invariant", invariant.name), EventField("detail", text))
        recorder.record(EventKind("invariant.violated"), null, fields)
    }

    /** Number of violations of [invariant] since the process started. */
    public fun violations(invariant: Invariant): Long = violations.get(invariant.ordinal)
}
