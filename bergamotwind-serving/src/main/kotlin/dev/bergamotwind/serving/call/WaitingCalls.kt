package dev.bergamotwind.serving.call

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.StepGuard

/** Calls that wait for a model or adapter that no target has loaded yet. Used on the serving loop. */
internal class WaitingCalls {
    private val handlers = LinkedHashSet<CallHandler>()

    /** Number of waiting calls. */
    val size: Int get() = handlers.size

    fun add(handler: CallHandler) {
        handlers += handler
    }

    fun remove(handler: CallHandler) {
        handlers -= handler
    }

    /** Number of calls that wait for a model, by model. */
    fun countByModel(): Map<ModelId, Int> =
        handlers.filter { it.waitsForModel }.mapNotNull { it.call.modelRequest?.model }.groupingBy { it }.eachCount()

    /** Calls that wait for an adapter. */
    fun waitingForAdapter(): List<CallHandler> = handlers.filter { !it.waitsForModel }

    /**
     * Dispatches the calls that can be served after a change of targets, in order of arrival. A call that cannot be
     * dispatched does not keep the others waiting.
     */
    fun onTargetsChanged(guard: StepGuard) {
        handlers.toList().forEach { if (it in handlers) guard.runIsolated("waiting call", it::onTargetsChanged) }
    }
}
