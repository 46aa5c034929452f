package dev.bergamotwind.serving.call

import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedService
import dev.bergamotwind.serving.catalogue.ServedTeam
import dev.bergamotwind.serving.crash.RefusedPart
import dev.bergamotwind.serving.targets.PriorityClass
import dev.bergamotwind.serving.targets.TargetCriteria
import dev.bergamotwind.serving.targets.TargetState

/** State of a call across its attempts, and the decisions whether it may be sent or run again. */
internal class CallProgress(private val context: ServingContext) {
    /** Arrival time of the call. */
    val startedMillis: Long = context.loop.nowMillis()

    /** Random fraction that selects one of the route's services, so that all attempts use the same service. */
    val serviceFraction: Double = context.random.nextDouble()

    /** Targets that have failed the call. */
    val excludedTargets = HashSet<TargetId>()
    var route: ServedRoute? = null
    var team: ServedTeam? = null
    var service: ServedService? = null

    /** Units of the team's rate that the call asked for. */
    var requestedUnits = 0.0

    /** Units of the team's rate that the call was admitted for. */
    var admittedUnits = 0.0

    /** Milliseconds of engine time that were added to the demand for this call. */
    var demandMillis = 0.0

    /** Time at which the call times out: the caller's deadline or the timeout of the route. */
    var timeoutAtMillis = Long.MAX_VALUE

    /** Number of attempts that were sent. */
    var sends = 0

    /** Number of attempts that ran, may have run or may still be running. */
    var runs = 0
    var lastFailure: String? = null

    /** True once the request may have run at a target. */
    val mayHaveRun: Boolean get() = runs > 0

    /** Milliseconds until the call times out or this VM stops, whichever comes first. */
    val remainingMillis: Long
        get() = minOf(
            timeoutAtMillis - context.loop.nowMillis(),
            context.shutdownRemainingMillis ?: Long.MAX_VALUE,
        )

    /** Milliseconds within which the response must begin, because the caller disconnects otherwise. */
    val remainingToFirstEventMillis: Long
        get() {
            val limit = route?.callerEventTimeoutMillis ?: return remainingMillis
            return minOf(remainingMillis, startedMillis + limit - context.loop.nowMillis())
        }

    /**
     * Longest idle time in milliseconds of a kept connection for the next attempt. A further attempt gets a new one,
     * because the connection of an earlier attempt may bring a second answer to it, under the same request id.
     */
    val reuseIdleMillis: Long
        get() = when {
            sends > 0 -> 0
            isRepeatable -> REUSE_IDLE_MILLIS
            else -> AT_MOST_ONCE_REUSE_IDLE_MILLIS
        }

    /** True when another attempt may follow one that did not run. */
    val maySendAgain: Boolean get() = sends < MAX_SENDS && remainingMillis > MIN_SERVICE_MILLIS

    /** True when another attempt may follow one that may have run. */
    val mayRunAgain: Boolean
        get() = route?.let { it.isRepeatable && runs < it.attemptLimit } ?: false && maySendAgain

    /** True when the request may run more than once. */
    val isRepeatable: Boolean get() = route?.isRepeatable ?: false

    /** Returns the criteria for choosing a target. */
    fun targetCriteria(service: ServedService, modelRequest: ModelRequest?, excluded: Set<TargetId>): TargetCriteria {
        val priority = route?.let(EnginePriority::classOf) ?: PriorityClass.USUAL
        val connectionLimit = context.connectionShare(service.connectionLimit)
        return TargetCriteria(service, modelRequest, priority, excluded, connectionLimit)
    }

    /** True when a target other than [target] can take [call]. An attempt at the only target is not given up. */
    fun hasOtherTarget(call: Call, target: TargetState): Boolean {
        val current = service ?: return false
        val excluded = excludedTargets + target.record.id
        return context.picker.pick(targetCriteria(current, call.modelRequest, excluded)) != null
    }

    /** Milliseconds until the first of the targets that serve [call] has rested, or null when one does not rest. */
    fun millisUntilRested(call: Call): Long? =
        service?.let { context.picker.millisUntilRested(targetCriteria(it, call.modelRequest, excludedTargets)) }

    /**
     * Largest predicted time to the first event at which the call is still sent to a target. A longer queue would not
     * increase an engine's throughput; it would only delay all later requests and slow down the running streams.
     */
    val predictedLatencyLimitMillis: Double
        get() {
            val latencyBudget = remainingToFirstEventMillis * LATENCY_BUDGET_SHARE
            val current = route ?: return latencyBudget
            // Urgent requests overtake the others at an engine, so their queue delays no other requests.
            if (EnginePriority.classOf(current) == PriorityClass.URGENT) return latencyBudget
            return minOf(latencyBudget, current.targetLatencyMillis * QUEUE_LIMIT_TARGET_LATENCIES)
        }

    /** Returns the refusal of a call whose first event is expected after [predictedMillis]. */
    fun overloadRefusal(predictedMillis: Long): Refusal {
        val retryAfter = (predictedMillis * RETRY_AFTER_SHARE).toLong().coerceAtLeast(SHORT_RETRY_AFTER_MILLIS)
        return Refusal(RefusalKind.OVERLOADED, "the first event is expected after $predictedMillis ms", retryAfter)
    }

    /**
     * Returns the refusal of a call while all targets of [service] that could take it are at the limits that they
     * named, the first of them for [millis] more.
     */
    fun limitRefusal(service: ServiceId, millis: Long): Refusal =
        pauseRefusal("all targets of service $service are at the request limits that they named", millis)

    /**
     * Returns the refusal of a call while all targets of [service] that serve it rest as they have asked, the first of
     * them for [millis] more.
     */
    fun restRefusal(service: ServiceId, millis: Long): Refusal =
        pauseRefusal("all targets of service $service have asked for rest", millis)

    // Callers return at different times, so that few find the target in use again.
    private fun pauseRefusal(reason: String, millis: Long): Refusal {
        val retryAfter = (millis * (1 + context.random.nextDouble())).toLong().coerceAtLeast(SHORT_RETRY_AFTER_MILLIS)
        return Refusal(RefusalKind.OVERLOADED, reason, retryAfter)
    }

    /** Returns the refusal of a call whose prompt contains [refused]. */
    fun quarantineRefusal(refused: RefusedPart): Refusal {
        val reason = "part ${refused.part} of the prompt has crashed ${refused.crashes} engines"
        return Refusal(
            RefusalKind.QUARANTINED,
            reason,
            refused.retryAfterMillis.coerceAtLeast(SHORT_RETRY_AFTER_MILLIS),
        )
    }

    /** Returns [refusal], or a target failure if [refusal] promises "not run" although the request may have run. */
    fun withoutFalsePromise(refusal: Refusal): Refusal =
        if (mayHaveRun && refusal.kind.promisesNotRun) Refusal(RefusalKind.TARGET_FAILED, refusal.reason) else refusal
}
