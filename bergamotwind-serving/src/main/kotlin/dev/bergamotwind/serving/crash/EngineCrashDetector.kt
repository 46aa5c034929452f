package dev.bergamotwind.serving.crash

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.targets.TargetState

/**
 * Tells crashes of engines from broken connections: attempts at an engine were broken off, and then it accepts no
 * connection, has started anew or is gone. An engine that announced its end has not crashed. Used on the serving loop.
 */
internal class EngineCrashDetector(
    private val loop: ServingLoop,
    private val recorder: EventRecorder,
    /** Longest time in milliseconds from broken connections to the confirmation that the engine has ended. */
    private val confirmationMillis: Long,
    /** Asks an engine whether it runs; replies false when it does not answer. */
    private val probe: (TargetState, (Boolean) -> Unit) -> Unit,
    private val onCrash: (EngineCrash) -> Unit,
) {
    private val broken = HashMap<TargetState, MutableList<BrokenAttempt>>()

    /** Handles an attempt at [target] whose connection ended. */
    fun onBroken(target: TargetState, attempt: BrokenAttempt) {
        if (!target.acceptsWork) return
        val attempts = broken.getOrPut(target) { mutableListOf() }
        attempts += attempt
        // The store tells of the end of an engine only seconds later, and few requests are sent to it until then.
        val mayProbe = !target.availability.isResting(loop.nowMillis())
        if (attempts.size == 1 && mayProbe) {
            probe(target) { isRunning -> if (!isRunning) onEnded(target) }
        }
    }

    /** Handles a success of [target] for an attempt sent at [sentMillis]: what broke before was not a crash. */
    fun onAnswer(target: TargetState, sentMillis: Long) {
        val attempts = broken[target] ?: return
        attempts.removeIf { it.brokenMillis < sentMillis }
        if (attempts.isEmpty()) broken -= target
    }

    /** Handles an engine that cannot be reached, was replaced by another start or is gone. */
    fun onEnded(target: TargetState) {
        val now = loop.nowMillis()
        val attempts = broken.remove(target)?.filter { now - it.brokenMillis < confirmationMillis }.orEmpty()
        if (attempts.isEmpty()) return
        val suspects = attempts.filter { it.mayBeCause }
        val crashedMillis = attempts.minOf { it.brokenMillis }
        val parts = suspects.flatMapTo(LinkedHashSet()) { it.sharedParts }
        recorder.event("engine.crashed") {
            field("target", target.record.id)
            field("service", target.record.service)
            field("crash_id", EngineCrashId.of(target.record))
            field("crashed_millis_ago", now - crashedMillis)
            field("broken_requests", attempts.size)
            field("unanswered_requests", suspects.size)
            field("suspect_parts", parts.take(LOGGED_PARTS).joinToString(",").ifEmpty { null })
            field("suspect_part_count", parts.size)
        }
        onCrash(EngineCrash(EngineCrashId.of(target.record), target.record.id, crashedMillis, parts))
    }

    /** Forgets broken attempts that nothing has confirmed as a crash. */
    fun removeExpired() {
        val now = loop.nowMillis()
        broken.values.forEach { attempts ->
            attempts.removeIf { now - it.brokenMillis >= confirmationMillis }
        }
        broken.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** Largest number of prompt parts in one log line. */
        const val LOGGED_PARTS = 16
    }
}
