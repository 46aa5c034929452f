package dev.bergamotwind.serving.call

import dev.bergamotwind.api.ModelId

/** Calls that wait for a model or adapter that no target holds yet. Used on the serving loop. */
internal class WaitingCalls {
    private val runs = LinkedHashSet<CallHandler>()

    /** Calls that wait. */
    val size: Int get() = runs.size

    fun enter(run: CallHandler) {
        runs += run
    }

    fun leave(run: CallHandler) {
        runs -= run
    }

    /** Calls that wait for a model, by model. */
    fun waitingByModel(): Map<ModelId, Int> =
        runs.filter { it.waitsForModel }.mapNotNull { it.call.work?.model }.groupingBy { it }.eachCount()

    /** Calls that wait for an adapter. */
    fun waitingForAdapter(): List<CallHandler> = runs.filter { !it.waitsForModel }

    /** Targets have changed: those that can be served now are, in the order in which they came. */
    fun targetsChanged() {
        runs.toList().forEach { if (it in runs) it.targetsChanged() }
    }
}
