package dev.bergamotwind.serving.call

import dev.bergamotwind.api.CallerExchange
import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedTeam
import dev.bergamotwind.serving.peer.AdapterUse
import dev.bergamotwind.serving.targets.TargetChoice
import dev.bergamotwind.serving.targets.TargetCriteria
import dev.bergamotwind.serving.targets.TargetState

/**
 * Handles one call from its arrival to its end: admission, choice of target, attempts and the relay of the response.
 * The call ends exactly once, by a response, a refusal, an aborted connection or the caller's disconnection. Used on
 * the serving loop.
 */
internal class CallHandler(val call: Call, private val exchange: CallerExchange, private val context: ServingContext) :
    AttemptOutcomeHandler {
    private val loop get() = context.loop
    private val progress = CallProgress(context)
    private val events = CallEventRecorder(call, progress, context)
    private val relay = ResponseRelay(exchange) { context.isStopping }
    private val stallDetector = StallDetector(loop)
    private var cancelTimeout: () -> Unit = {}
    private var cancelWaitTimeout: () -> Unit = {}
    private var activeAttempt: CallAttempt? = null
    private var isFinished = false
    private val shutdownRefusal
        get() = Refusal(RefusalKind.UNAVAILABLE, "the VM is stopping", SHUTDOWN_RETRY_AFTER_MILLIS)

    /** True when the last attempt was the trial of a refused prompt part. */
    private var isTrial = false

    /** Target at which the call waits for an adapter or uses one, or null. */
    var adapterTarget: TargetState? = null
        private set

    /** The adapter that the call waits for or uses, with its target, or null. */
    val adapterUse: AdapterUse?
        get() {
            val target = adapterTarget?.record?.id
            val adapter = call.modelRequest?.adapter
            return if (target == null || adapter == null) null else AdapterUse(target, call.modelRequest.model, adapter)
        }

    /** True while the call waits for a model that no target has loaded. */
    var waitsForModel = false
        private set

    /** Starts handling the call. */
    fun start() {
        exchange.onGone = ::onCallerDisconnected
        if (context.refusesNewCalls) return refuse(shutdownRefusal)
        if (context.configuration != null || !context.isReadingConfiguration) return admit()
        // A VM that has just started reads its configuration within milliseconds, which is sooner than a retry.
        context.waitingCalls.add(this)
        val limit = minOf(call.deadlineMillis ?: Long.MAX_VALUE, NO_CONFIGURATION_RETRY_MILLIS)
        cancelWaitTimeout = loop.schedule(limit, ::admit)
    }

    /**
     * Retries the choice of a target after the first configuration has arrived, targets were added or their loaded
     * models have changed.
     */
    fun onTargetsChanged() {
        when {
            isFinished || activeAttempt != null -> Unit
            progress.route != null -> dispatch()
            context.configuration != null || !context.isReadingConfiguration -> admit()
        }
    }

    /** Ends a call whose response has not begun, because the process is about to exit. */
    fun endForShutdown() {
        if (!isFinished && !relay.isStarted) onTimeout()
    }

    private fun admit() {
        cancelWaitTimeout()
        context.waitingCalls.remove(this)
        val authorized = CallAuthorizer.authorize(context.configuration, call).fold({ return refuse(it) }, { it })
        val route = authorized.route
        val team = authorized.team
        progress.route = route
        progress.team = team
        val limit = minOf(call.deadlineMillis ?: Long.MAX_VALUE, route.timeoutMillis)
        progress.timeoutAtMillis = progress.startedMillis + limit
        if (team != null) {
            val units = CallAuthorizer.rateUnits(call, team)
            progress.requestedUnits = units
            val retryAfter = context.rateLimiter.admit(team, units)
            if (retryAfter != null) {
                return refuse(Refusal(RefusalKind.RATE_EXCEEDED, "team ${team.id} has used its rate", retryAfter))
            }
            progress.admittedUnits = units
        }
        cancelTimeout = loop.schedule((progress.timeoutAtMillis - loop.nowMillis()).coerceAtLeast(0), ::onTimeout)
        route.service(progress.serviceFraction)?.let(context::recordRequest)
        call.modelRequest?.let { modelRequest ->
            progress.demandMillis = context.picker.processingTimes.engineMillis(modelRequest)
            context.demand.recordArrival(modelRequest.model, progress.demandMillis, loop.nowMillis())
        }
        dispatch()
    }

    /** Sends the call to the best target, lets it wait, or refuses it. */
    private fun dispatch() {
        cancelWaitTimeout()
        context.waitingCalls.remove(this)
        adapterTarget = null
        waitsForModel = false
        if (context.refusesNewCalls && !progress.mayHaveRun) return refuse(shutdownRefusal)
        // The configuration may have changed while the call waited: its route or key removed, or its service replaced.
        val configuration = context.configuration
        val route = CallAuthorizer.authorize(configuration, call).fold({ return refuse(it) }, { it.route })
        progress.route = route
        val service = route.service(progress.serviceFraction)?.let { configuration?.services?.get(it) }
            ?: return refuse(Refusal(RefusalKind.UNAVAILABLE, "the route has no service", SHORT_RETRY_AFTER_MILLIS))
        progress.service = service
        val criteria = progress.targetCriteria(service, call.modelRequest, progress.excludedTargets)
        val refused = call.modelRequest?.let(context.quarantine::refusal)
        val choice = context.picker.pick(criteria)
        when {
            refused != null && refused.isTrialDue && !progress.mayHaveRun -> {
                waitForTargets(
                    CONNECT_TIMEOUT_MILLIS,
                    "the trial of part ${refused.part} of the prompt was not decided",
                )
                context.quarantine.claimTrial(refused.part, context::scheduleWakeUp)
            }

            refused != null -> refuse(progress.quarantineRefusal(refused))

            choice == null -> handleNoTarget(criteria)

            choice.predictedMillis > progress.predictedLatencyLimitMillis -> refuse(
                progress.overloadRefusal(choice.predictedMillis.toLong()),
            )

            choice.needsAdapter -> waitForAdapter(choice)

            else -> send(choice, route)
        }
    }

    private fun handleNoTarget(criteria: TargetCriteria) {
        val modelRequest = call.modelRequest
        val millisUntilWithinLimits = context.picker.millisUntilWithinLimits(criteria)
        val millisUntilRested = context.picker.millisUntilRested(criteria)
        val remaining = progress.remainingToFirstEventMillis
        val expected = modelRequest?.let(context::expectedLoadMillis) ?: DEFAULT_MODEL_LOAD_MILLIS
        val mayWait = modelRequest != null && criteria.service.engine != null &&
            (!progress.mayHaveRun || progress.isRepeatable)
        when {
            millisUntilWithinLimits != null ->
                refuse(progress.limitRefusal(criteria.service.id, millisUntilWithinLimits))

            millisUntilRested != null -> refuse(progress.restRefusal(criteria.service.id, millisUntilRested))

            modelRequest == null || !mayWait || context.picker.isModelLoaded(criteria, modelRequest.model) ->
                refuse(Refusal(RefusalKind.OVERLOADED, "no target can take the request", SHORT_RETRY_AFTER_MILLIS))

            modelRequest.model !in criteria.service.engine.models ->
                refuse(Refusal(RefusalKind.UNAVAILABLE, "the service has no model ${modelRequest.model}"))

            expected + MIN_SERVICE_MILLIS > remaining ->
                refuse(Refusal(RefusalKind.OVERLOADED, "model ${modelRequest.model} is not loaded in time", expected))

            else -> {
                waitsForModel = true
                // A target that was unreachable or full may be available again by then.
                progress.excludedTargets.clear()
                waitForTargets(remaining - MIN_SERVICE_MILLIS, "model ${modelRequest.model} was not loaded in time")
            }
        }
    }

    private fun waitForAdapter(choice: TargetChoice) {
        adapterTarget = choice.target
        val limit = minOf(progress.remainingToFirstEventMillis - MIN_SERVICE_MILLIS, ADAPTER_WAIT_LIMIT_MILLIS)
        waitForTargets(limit, "the adapter of model ${call.modelRequest?.model} was not loaded in time")
        context.requestAdapter(this)
    }

    private fun waitForTargets(limitMillis: Long, timeoutReason: String) {
        context.waitingCalls.add(this)
        cancelWaitTimeout = loop.schedule(limitMillis.coerceAtLeast(0)) {
            val target = adapterTarget
            context.waitingCalls.remove(this)
            if (target != null && progress.remainingToFirstEventMillis > ADAPTER_WAIT_LIMIT_MILLIS) {
                // Another target may be able to load the adapter where this one could not.
                progress.excludedTargets += target.record.id
                dispatch()
            } else {
                refuse(Refusal(RefusalKind.OVERLOADED, timeoutReason, SHORT_RETRY_AFTER_MILLIS))
            }
        }
    }

    private fun send(choice: TargetChoice, route: ServedRoute) {
        val modelRequest = call.modelRequest
        val remaining = progress.timeoutAtMillis - loop.nowMillis()
        val request = TargetRequest(
            call = call,
            remainingMillis = remaining,
            team = progress.team?.id,
            priority = modelRequest?.let { EnginePriority.rank(route, progress.team) },
            lastEventId = relay.lastEventId ?: call.lastEventId,
            connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS.coerceAtMost(remaining).toInt().coerceAtLeast(1),
            reuseIdleMillis = progress.reuseIdleMillis,
        )
        val load = context.picker.recordSent(choice, modelRequest, EnginePriority.classOf(route))
        val attempt = CallAttempt(choice, load, call, progress, relay, exchange, context, this)
        activeAttempt = attempt
        isTrial = modelRequest != null && context.quarantine.onSent(modelRequest)
        progress.sends++
        progress.runs++
        attempt.send(request)
        if (modelRequest?.adapter != null) {
            adapterTarget = choice.target
            context.recordAdapterUse(this)
        }
        if (route.isRepeatable) stallDetector.watch(attempt, route, ::onStall)
    }

    /** Gives up an attempt that makes no progress for far longer than predicted, if the request may run again. */
    private fun onStall(attempt: CallAttempt) {
        if (!isActive(attempt) || !progress.mayRunAgain || !progress.hasOtherTarget(call, attempt.target)) return
        attempt.cancel()
        attempt.target.health.recordUnreachable(loop.nowMillis())
        onFailed(attempt, "no progress for ${loop.nowMillis() - attempt.lastProgressMillis} ms")
    }

    override fun isActive(attempt: CallAttempt): Boolean = activeAttempt === attempt

    override fun onFailed(attempt: CallAttempt, reason: String) {
        endAttempt(attempt)
        progress.lastFailure = reason
        progress.excludedTargets += attempt.target.record.id
        events.recordFailedAttempt(attempt, reason)
        val mayRunAgain = progress.mayRunAgain && progress.millisUntilRested(call) == null
        val again = mayRunAgain && context.tryTakeRetry(attempt.target.record.service)
        if (again) dispatch() else refuse(Refusal(RefusalKind.TARGET_FAILED, reason))
    }

    override fun onNotRun(attempt: CallAttempt, reason: String, reachedTarget: Boolean) {
        endAttempt(attempt)
        progress.runs--
        if (isTrial) call.modelRequest?.let(context.quarantine::onTrialNotRun)
        progress.lastFailure = reason
        events.recordFailedAttempt(attempt, reason)
        if (!attempt.mayRetryTarget) progress.excludedTargets += attempt.target.record.id
        val restMillis = progress.millisUntilRested(call)
        if (restMillis != null) return refuse(progress.restRefusal(attempt.target.record.service, restMillis))
        // Attempts that reached no target do not count against the retry budget.
        val again = progress.maySendAgain && (!reachedTarget || context.tryTakeRetry(attempt.target.record.service))
        if (again) dispatch() else refuse(Refusal(RefusalKind.OVERLOADED, reason, SHORT_RETRY_AFTER_MILLIS))
    }

    override fun onAnswered(attempt: CallAttempt, status: Int) {
        endAttempt(attempt)
        finish("answered", status, null)
    }

    private fun onTimeout() {
        val attempt = activeAttempt
        var reason = "waited until the deadline"
        if (attempt != null) {
            reason = "no complete response from ${attempt.target.record.id} before the deadline"
            attempt.cancel()
            if (!attempt.hasReceivedBody) attempt.target.health.recordFailure(loop.nowMillis())
            endAttempt(attempt)
        }
        refuse(
            if (progress.mayHaveRun) {
                Refusal(RefusalKind.TIMED_OUT, reason)
            } else {
                Refusal(RefusalKind.OVERLOADED, reason, SHORT_RETRY_AFTER_MILLIS)
            },
        )
    }

    private fun onCallerDisconnected() {
        if (isFinished) return
        activeAttempt?.let {
            it.cancel()
            endAttempt(it)
        }
        finish("caller-gone", null, null)
    }

    /** Ends the call with [refusal], or by aborting a response that has begun. */
    private fun refuse(refusal: Refusal) {
        if (isFinished) return
        val finalRefusal = progress.withoutFalsePromise(refusal)
        if (relay.isStarted) {
            exchange.abort()
        } else {
            val text = "${finalRefusal.reason}. ${finalRefusal.kind.remedy}\n"
            val headers = context.refusalHeaders.headersFor(call, finalRefusal)
            exchange.answer(finalRefusal.status, headers, text.toByteArray(), context.isStopping)
        }
        if (!progress.mayHaveRun) progress.team?.let { context.rateLimiter.refund(it.id, progress.admittedUnits) }
        if (finalRefusal.retryAfterMillis != null) {
            call.modelRequest?.let { context.demand.recordRefusal(it.model, progress.demandMillis) }
        }
        finish(if (relay.isStarted) "broken-off" else finalRefusal.kind.name.lowercase(), null, finalRefusal)
    }

    private fun finish(outcome: String, status: Int?, refusal: Refusal?) {
        isFinished = true
        cancelTimeout()
        cancelWaitTimeout()
        stallDetector.cancel()
        context.waitingCalls.remove(this)
        exchange.onGone = null
        exchange.onWritable = null
        events.recordEnd(outcome, status, refusal)
        context.onCallEnded(this)
    }

    private fun endAttempt(attempt: CallAttempt) {
        stallDetector.cancel()
        if (isActive(attempt)) activeAttempt = null
        attempt.release()
        context.picker.recordEnd(attempt.target, attempt.load)
    }
}
