package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.ServingLoop

/** Keeps what targets state about themselves in their answers. Used on the serving loop. */
internal class TargetStatements(
    private val registry: TargetRegistry,
    private val loop: ServingLoop,
    private val recorder: EventRecorder,
) {
    /**
     * Applies the [statement] of [target] in an answer to a request sent at [sentMillis]; [source] names the kind of
     * answer in the log.
     */
    fun apply(target: TargetState, statement: TargetStatement, sentMillis: Long, source: String) {
        val now = loop.nowMillis()
        val availability = target.availability
        val wasLeaving = availability.isLeaving
        val wasResting = availability.isResting(now)
        availability.apply(statement, sentMillis, now)
        if (availability.isLeaving && !wasLeaving) {
            recorder.event("target.leaving") {
                field("target", target.record.id)
                field("service", target.record.service)
                field("source", source)
            }
        }
        if (availability.isResting(now) && !wasResting) {
            recorder.event("target.resting") {
                field("target", target.record.id)
                field("service", target.record.service)
                field("source", source)
                field("rest_millis", availability.restEndMillis?.let { it - now })
            }
        }
        val hasChanged = availability.isLeaving != wasLeaving || availability.isResting(now) != wasResting
        if (hasChanged) registry.onChange?.invoke()
    }
}
