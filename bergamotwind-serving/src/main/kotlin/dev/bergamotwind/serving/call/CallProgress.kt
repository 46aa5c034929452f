package dev.bergamotwind.serving.call

import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedService
import dev.bergamotwind.serving.catalogue.ServedTeam
import dev.bergamotwind.serving.targets.PriorityClass
import dev.bergamotwind.serving.targets.TargetCriteria
import dev.bergamotwind.serving.targets.TargetState

/** What has happened to a call so far, and what may still be done with it. */
internal class CallProgress(private val context: ServingContext) {
    /** Time of the call's arrival. */
    val startedMillis: Long = context.loop.nowMillis()

    /** Draws the service among those of the route, the same one for all attempts. */
    val serviceDraw: Double = context.random.nextDouble()

    /** Targets that have failed the call. */
    val excluded = HashSet<TargetId>()
    var route: ServedRoute? = null
    var team: ServedTeam? = null
    var service: ServedService? = null

    /** Units of the team's rate that the call was admitted for. */
    var units = 0.0

    /** Milliseconds of an engine's time that the call was counted with as demand. */
    var countedWork = 0.0

    /** Time at which the caller stops waiting, or its route does. */
    var endMillis = Long.MAX_VALUE

    /** Attempts that were sent. */
    var sends = 0

    /** Attempts that ran, or may have, or may still be running. */
    var runs = 0
    var lastFailure: String? = null

    /** True once the request may have run somewhere. */
    val mayHaveRun: Boolean get() = runs > 0

    /** Milliseconds left for the call at this VM. */
    val remainingMillis: Long
        get() = minOf(endMillis - context.loop.nowMillis(), context.stopMillis ?: Long.MAX_VALUE)

    /** Milliseconds in which the answer must begin, because the caller leaves then if not before. */
    val remainingToAnswerMillis: Long
        get() {
            val limit = route?.silenceLimitMillis ?: return remainingMillis
            return minOf(remainingMillis, startedMillis + limit - context.loop.nowMillis())
        }

    /** True when an attempt that did not run may be followed by another. */
    val maySendAgain: Boolean get() = sends < SEND_LIMIT && remainingMillis > LEAST_SERVICE_MILLIS

    /** True when an attempt that may have run may be followed by another. */
    val mayRunAgain: Boolean
        get() = route?.let { it.isRepeatable && runs < it.attemptLimit } ?: false && maySendAgain

    /** True when the request may run more than once. */
    val isRepeatable: Boolean get() = route?.isRepeatable ?: false

    /** What a target is chosen for. */
    fun need(service: ServedService, work: ModelRequest?, excluded: Set<TargetId>): TargetCriteria {
        val urgency = route?.let(EnginePriority::classOf) ?: PriorityClass.USUAL
        return TargetCriteria(service, work, urgency, excluded, context.connectionShare(service.connectionLimit))
    }

    /** True when another target than [target] could take [call]; the only one is not given up for its silence. */
    fun hasOtherTarget(call: Call, target: TargetState): Boolean {
        val current = service ?: return false
        return context.picker.pick(need(current, call.work, excluded + target.record.id)) != null
    }

    /**
     * Longest predicted time to the first event for which a target is still asked. A longer queue would not get more
     * work out of an engine; it would only make all later requests late as well, and slow the streams that run.
     */
    val patienceMillis: Double
        get() {
            val bearable = remainingToAnswerMillis * PATIENCE_SHARE
            val current = route ?: return bearable
            // Urgent requests pass the others at an engine, so that their queue slows nobody else.
            if (EnginePriority.classOf(current) == PriorityClass.URGENT) return bearable
            return minOf(bearable, current.targetLatencyMillis * QUEUE_TARGET_SHARE)
        }

    /** The refusal of a call whose first event is expected after [predictedMillis]. */
    fun overload(predictedMillis: Long): Refusal {
        val retryAfter = (predictedMillis * RETRY_AFTER_SHARE).toLong().coerceAtLeast(SHORT_RETRY_MILLIS)
        return Refusal(RefusalKind.OVERLOADED, "the first event is expected after $predictedMillis ms", retryAfter)
    }

    /** Returns [refusal], or the failure that it must be weakened to because the request may have run. */
    fun truthful(refusal: Refusal): Refusal =
        if (mayHaveRun && refusal.kind.promisesNotRun) Refusal(RefusalKind.TARGET_FAILED, refusal.reason) else refusal
}
