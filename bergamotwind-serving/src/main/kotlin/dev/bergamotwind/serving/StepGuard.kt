package dev.bergamotwind.serving

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.event

/**
 * Isolates steps from each other's failures: whatever a step throws is recorded and ends only that step. Errors count
 * as well as exceptions, because a step that reads what others have written may exhaust the stack or the memory.
 */
internal class StepGuard(private val recorder: EventRecorder) {
    /** Runs [action]; the record of a failure names it [step]. */
    @Suppress("TooGenericExceptionCaught") // Whatever one item or step does wrong, the next one must be reached.
    fun runIsolated(step: String, action: () -> Unit) {
        try {
            action()
        } catch (failure: Throwable) {
            recorder.event("step.failed") {
                field("step", step)
                field("fault", failure.toString())
                field("at", failure.stackTrace.firstOrNull())
            }
        }
    }

    /** Runs [action], and then [remedy] if it failed: what it would have planned next has to be planned otherwise. */
    fun runOrElse(step: String, remedy: () -> Unit, action: () -> Unit) {
        var isDone = false
        runIsolated(step) {
            action()
            isDone = true
        }
        if (!isDone) remedy()
    }
}
