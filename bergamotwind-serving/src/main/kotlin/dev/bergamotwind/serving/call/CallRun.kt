package dev.bergamotwind.serving.call

import dev.bergamotwind.api.CallerExchange
import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedTeam
import dev.bergamotwind.serving.peer.AdapterUse
import dev.bergamotwind.serving.targets.TargetChoice
import dev.bergamotwind.serving.targets.TargetNeed
import dev.bergamotwind.serving.targets.TargetState

/**
 * One call from its arrival to its end: admission, choice of target, attempts and the relay of the answer. It ends
 * exactly once, by an answer, a refusal, a broken connection or the caller's leave. Used on the serving loop.
 */
internal class CallRun(val call: Call, private val exchange: CallerExchange, private val context: ServingContext) :
    AttemptOwner {
    private val loop get() = context.loop
    private val progress = CallProgress(context)
    private val journal = CallJournal(call, progress, context)
    private val relay = AnswerRelay(exchange) { context.isStopping }
    private val silence = SilenceWatch(loop)
    private var cancelEnd: () -> Unit = {}
    private var cancelWait: () -> Unit = {}
    private var active: CallAttempt? = null
    private var isOver = false

    /** Target at which an adapter is awaited or used, or null. */
    var adapterTarget: TargetState? = null
        private set

    /** The adapter that is awaited or used, with its target, or null. */
    val adapterUse: AdapterUse?
        get() {
            val target = adapterTarget?.record?.id
            val adapter = call.work?.adapter
            return if (target == null || adapter == null) null else AdapterUse(target, call.work.model, adapter)
        }

    /** True while waiting for a model that no target holds. */
    var waitsForModel = false
        private set

    /** Begins the call. */
    fun begin() {
        exchange.onGone = ::callerGone
        if (context.refusesNew) {
            return refuse(Refusal(RefusalKind.UNAVAILABLE, "the VM is stopping", STOPPING_RETRY_MILLIS))
        }
        CallGate.check(context.configuration, call).fold(::refuse) { passed ->
            progress.route = passed.route
            progress.team = passed.team
            admit(passed.route, passed.team)
        }
    }

    /** Targets have come or hold other models. */
    fun targetsChanged() {
        if (!isOver && active == null) dispatch()
    }

    /** The process is about to end: a call without an answer gets a final one. */
    fun stop() {
        if (!isOver && !relay.isStarted) timeOver()
    }

    private fun admit(route: ServedRoute, team: ServedTeam?) {
        val limit = minOf(call.deadlineMillis ?: Long.MAX_VALUE, route.timeoutMillis)
        progress.endMillis = progress.startedMillis + limit
        if (team != null) {
            val units = CallGate.units(call, team)
            val retryAfter = context.rates.take(team, units)
            if (retryAfter != null) {
                return refuse(Refusal(RefusalKind.RATE_EXCEEDED, "team ${team.id} has used its rate", retryAfter))
            }
            progress.units = units
        }
        cancelEnd = loop.schedule(limit, ::timeOver)
        route.service(progress.serviceDraw)?.let(context::requested)
        call.work?.let { work ->
            progress.countedWork = context.picker.speed.workMillis(work)
            context.demand.recordArrival(work.model, progress.countedWork, progress.startedMillis)
        }
        dispatch()
    }

    /** Sends the call to the best target, lets it wait, or refuses it. */
    private fun dispatch() {
        cancelWait()
        context.waitingRoom.leave(this)
        adapterTarget = null
        waitsForModel = false
        // A waiting call follows changes of the configuration: its route or key may be gone, or its service changed.
        val configuration = context.configuration
        val route = CallGate.check(configuration, call).fold({ return refuse(it) }, { it.route })
        progress.route = route
        val service = route.service(progress.serviceDraw)?.let { configuration?.services?.get(it) }
            ?: return refuse(Refusal(RefusalKind.UNAVAILABLE, "the route has no service", SHORT_RETRY_MILLIS))
        progress.service = service
        val need = progress.need(service, call.work, progress.excluded)
        val choice = context.picker.pick(need)
        when {
            choice == null -> withoutTarget(need)

            choice.predictedMillis > progress.patienceMillis -> refuse(
                progress.overload(choice.predictedMillis.toLong()),
            )

            choice.needsAdapter -> awaitAdapter(choice)

            else -> send(choice, route)
        }
    }

    private fun withoutTarget(need: TargetNeed) {
        val work = call.work
        val remaining = progress.remainingToAnswerMillis
        val expected = work?.let(context::expectedMillis) ?: EXPECTED_LOAD_MILLIS
        val mayWait = work != null && need.service.engine != null && (!progress.mayHaveRun || progress.isRepeatable)
        when {
            work == null || !mayWait || context.picker.isHeld(need, work.model) ->
                refuse(Refusal(RefusalKind.OVERLOADED, "no target takes the request", SHORT_RETRY_MILLIS))

            work.model !in need.service.engine.models ->
                refuse(Refusal(RefusalKind.UNAVAILABLE, "the service has no model ${work.model}"))

            expected + LEAST_SERVICE_MILLIS > remaining ->
                refuse(Refusal(RefusalKind.OVERLOADED, "model ${work.model} is not loaded in time", expected))

            else -> {
                waitsForModel = true
                // A target that could not be reached, or had no room, may be free again by then.
                progress.excluded.clear()
                await(remaining - LEAST_SERVICE_MILLIS, "model ${work.model} was not loaded in time")
            }
        }
    }

    private fun awaitAdapter(choice: TargetChoice) {
        adapterTarget = choice.target
        val limit = minOf(progress.remainingToAnswerMillis - LEAST_SERVICE_MILLIS, ADAPTER_WAIT_MILLIS)
        await(limit, "the adapter of model ${call.work?.model} was not loaded in time")
        context.wantAdapter(this)
    }

    private fun await(limitMillis: Long, reason: String) {
        context.waitingRoom.enter(this)
        cancelWait = loop.schedule(limitMillis.coerceAtLeast(0)) {
            val target = adapterTarget
            context.waitingRoom.leave(this)
            if (target != null && progress.remainingToAnswerMillis > ADAPTER_WAIT_MILLIS) {
                // Another target may get the adapter where this one could not.
                progress.excluded += target.record.id
                dispatch()
            } else {
                refuse(Refusal(RefusalKind.OVERLOADED, reason, SHORT_RETRY_MILLIS))
            }
        }
    }

    private fun send(choice: TargetChoice, route: ServedRoute) {
        val work = call.work
        val remaining = progress.endMillis - loop.nowMillis()
        val request = TargetRequest(
            call = call,
            remainingMillis = remaining,
            team = progress.team?.id,
            urgency = work?.let { Urgency.rank(route, progress.team) },
            lastEventId = relay.lastEventId ?: call.lastEventId,
            connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS.coerceAtMost(remaining).toInt().coerceAtLeast(1),
            reuseIdleMillis = if (route.isRepeatable) REUSE_IDLE_MILLIS else REUSE_IDLE_ONCE_MILLIS,
        )
        val load = context.picker.sent(choice, work, Urgency.classOf(route))
        val attempt = CallAttempt(choice, load, call, progress, relay, exchange, context, this)
        active = attempt
        progress.sends++
        progress.runs++
        attempt.send(request)
        if (work?.adapter != null) {
            adapterTarget = choice.target
            context.usedAdapter(this)
        }
        if (route.isRepeatable) silence.watch(attempt, route, ::silent)
    }

    /** Gives up an attempt that stays silent for far longer than predicted, where the request may run again. */
    private fun silent(attempt: CallAttempt) {
        if (!isActive(attempt) || !progress.mayRunAgain || !progress.hasOtherTarget(call, attempt.target)) return
        attempt.cancel()
        attempt.target.health.unreachable(loop.nowMillis())
        failed(attempt, "no progress for ${loop.nowMillis() - attempt.lastProgressMillis} ms")
    }

    override fun isActive(attempt: CallAttempt): Boolean = active === attempt

    override fun failed(attempt: CallAttempt, reason: String) {
        close(attempt)
        progress.lastFailure = reason
        progress.excluded += attempt.target.record.id
        journal.failed(attempt, reason)
        val again = progress.mayRunAgain && context.tryRetry(attempt.target.record.service)
        if (again) dispatch() else refuse(Refusal(RefusalKind.TARGET_FAILED, reason))
    }

    override fun notRun(attempt: CallAttempt, reason: String, arrived: Boolean) {
        close(attempt)
        progress.runs--
        progress.lastFailure = reason
        journal.failed(attempt, reason)
        if (!attempt.mayAskAgain) progress.excluded += attempt.target.record.id
        // An attempt that reached no target costs nothing of the retry budget.
        val again = progress.maySendAgain && (!arrived || context.tryRetry(attempt.target.record.service))
        if (again) dispatch() else refuse(Refusal(RefusalKind.OVERLOADED, reason, SHORT_RETRY_MILLIS))
    }

    override fun answered(attempt: CallAttempt, status: Int) {
        close(attempt)
        finish("answered", status, null)
    }

    private fun timeOver() {
        val attempt = active
        var reason = "waited until the end of its time"
        if (attempt != null) {
            reason = "no whole answer of ${attempt.target.record.id} in time"
            attempt.cancel()
            if (!attempt.hasBytes) attempt.target.health.failed(loop.nowMillis())
            close(attempt)
        }
        refuse(
            if (progress.mayHaveRun) {
                Refusal(RefusalKind.TIMED_OUT, reason)
            } else {
                Refusal(RefusalKind.OVERLOADED, reason, SHORT_RETRY_MILLIS)
            },
        )
    }

    private fun callerGone() {
        if (isOver) return
        active?.let {
            it.cancel()
            close(it)
        }
        finish("caller-gone", null, null)
    }

    /** Ends the call with [refusal], or by breaking off an answer that has begun. */
    private fun refuse(refusal: Refusal) {
        if (isOver) return
        val truthful = progress.truthful(refusal)
        if (relay.isStarted) {
            exchange.abort()
        } else {
            val text = "${truthful.reason}. ${truthful.kind.remedy}\n"
            val headers = context.refusalHeaders.of(call, truthful)
            exchange.answer(truthful.status, headers, text.toByteArray(), context.isStopping)
        }
        if (!progress.mayHaveRun) progress.team?.let { context.rates.giveBack(it.id, progress.units) }
        if (truthful.retryAfterMillis != null) {
            call.work?.let { context.demand.recordRefusal(it.model, progress.countedWork) }
        }
        finish(if (relay.isStarted) "broken-off" else truthful.kind.name.lowercase(), null, truthful)
    }

    private fun finish(outcome: String, status: Int?, refusal: Refusal?) {
        isOver = true
        cancelEnd()
        cancelWait()
        silence.cancel()
        context.waitingRoom.leave(this)
        exchange.onGone = null
        exchange.onWritable = null
        journal.ended(outcome, status, refusal)
        context.ended(this)
    }

    private fun close(attempt: CallAttempt) {
        silence.cancel()
        if (isActive(attempt)) active = null
        context.picker.ended(attempt.target, attempt.load)
    }
}
