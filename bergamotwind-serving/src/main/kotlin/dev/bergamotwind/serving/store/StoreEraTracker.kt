package dev.bergamotwind.serving.store

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.StepGuard

/** Follows the era of the store by the answers to all calls of this VM. Used on the serving loop. */
public class StoreEraTracker(private val recorder: EventRecorder) {
    private val guard = StepGuard(recorder)
    private val listeners = mutableListOf<() -> Unit>()

    /** The latest era that an answer has named. */
    public var current: StoreEra = StoreEra.UNNAMED
        private set

    /** True once this VM has seen the store return from an older copy. */
    public var hasChanged: Boolean = false
        private set

    /** Adds a function that is called, in the order of adding, when the store has returned from an older copy. */
    public fun addListener(listener: () -> Unit) {
        listeners += listener
    }

    /**
     * Takes note of the [era] of an answer, or null if it names none, before the answer is handled. Returns false when
     * the answer must not be used: it was written in an earlier era.
     */
    public fun accept(era: StoreEra?): Boolean {
        val before = current
        when {
            era == null || era == before -> return true

            era < before -> {
                recorder.event("store.outdated-answer") {
                    field("era", era)
                    field("current_era", before)
                }
                return false
            }

            else -> current = era
        }
        if (before == StoreEra.UNNAMED) return true
        hasChanged = true
        recorder.event("store.new-era") {
            field("era", era)
            field("earlier_era", before)
        }
        listeners.forEach { guard.runIsolated("new era of the store", it) }
        return true
    }
}
