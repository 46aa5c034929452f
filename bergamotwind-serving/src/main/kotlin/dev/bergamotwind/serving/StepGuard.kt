package dev.bergamotwind.serving

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.event

/** Isolates steps from each other's failures: an unexpected exception is recorded and ends only its own step. */
internal class StepGuard(private val recorder: EventRecorder) {
    /** Runs [action]; the record of a failure names it [step]. */
    @Suppress("TooGenericExceptionCaught") // Whatever one item or step does wrong, the next one must be reached.
    fun runIsolated(step: String, action: () -> Unit) {
        try {
            action()
        } catch (failure: RuntimeException) {
            recorder.event("step.failed") {
                field("step", step)
                field("fault", failure.toString())
                field("at", failure.stackTrace.firstOrNull())
            }
        }
    }
}
