package dev.bergamotwind.serving.call

import dev.bergamotwind.api.CallerExchange
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedService
import dev.bergamotwind.serving.catalogue.ServedTeam
import dev.bergamotwind.serving.targets.AttemptLoad
import dev.bergamotwind.serving.targets.REPLACED_SUSPENSION_MILLIS
import dev.bergamotwind.serving.targets.TargetChoice
import dev.bergamotwind.serving.targets.TargetNeed
import dev.bergamotwind.serving.targets.TargetState

/**
 * One call from its arrival to its end: admission, choice of target, attempts and the relay of the answer. It ends
 * exactly once, by an answer, a refusal, a broken connection or the caller's leave. Used on the serving loop.
 */
internal class CallRun(val call: Call, private val exchange: CallerExchange, private val context: ServingContext) {
    private val loop get() = context.loop
    private val startedMillis = context.loop.nowMillis()
    private val serviceDraw = context.random.nextDouble()
    private val relay = AnswerRelay(exchange) { context.isStopping }
    private val excluded = HashSet<TargetId>()
    private var route: ServedRoute? = null
    private var team: ServedTeam? = null
    private var service: ServedService? = null
    private var units = 0.0
    private var endMillis = Long.MAX_VALUE
    private var cancelEnd: () -> Unit = {}
    private var cancelWait: () -> Unit = {}
    private var cancelSilence: () -> Unit = {}
    private var active: ActiveAttempt? = null
    private var sends = 0

    /** Attempts that ran, or may have, or may still be running. */
    private var runs = 0
    private var lastFailure = ""
    private var lastStatus: Int? = null
    private var isOver = false

    /** Target at which an adapter is awaited, or null. */
    var adapterTarget: TargetState? = null
        private set

    /** True while waiting for a model that no target holds. */
    var waitsForModel = false
        private set

    /** True once a request was sent that may have run. */
    private val mayHaveRun: Boolean get() = runs > 0

    /** Begins the call. */
    fun begin() {
        exchange.onGone = ::callerGone
        if (context.refusesNew) {
            return end(Refusal(RefusalKind.UNAVAILABLE, "the VM is stopping", STOPPING_RETRY_MILLIS))
        }
        CallGate.check(context.configuration, call).fold({ end(it) }) { passed ->
            route = passed.route
            team = passed.team
            admit(passed.route, passed.team)
        }
    }

    /** Targets have come or hold other models. */
    fun targetsChanged() {
        if (isOver || active != null) return
        dispatch()
    }

    /** The process is about to end: a call without an answer gets a final one. */
    fun stop() {
        if (!isOver && !relay.isStarted) timeOver()
    }

    private fun admit(route: ServedRoute, team: ServedTeam?) {
        val limit = minOf(call.deadlineMillis ?: Long.MAX_VALUE, route.timeoutMillis)
        endMillis = startedMillis + limit
        if (team != null) {
            units = CallGate.units(call, team)
            val retryAfter = context.rates.take(team, units)
            if (retryAfter != null) {
                units = 0.0
                return end(Refusal(RefusalKind.RATE_EXCEEDED, "team ${team.id} has used its rate", retryAfter))
            }
        }
        cancelEnd = loop.schedule(limit, ::timeOver)
        val id = route.service(serviceDraw)
        if (id != null) context.requested(id)
        call.work?.let { context.demand.arrived(it.model, workMillis(it), startedMillis) }
        dispatch()
    }

    private fun workMillis(work: ModelWork): Double =
        work.promptTokens * context.picker.speed.millisPerToken(work.model) +
            (work.memoryTokens - work.promptTokens) * OUTPUT_TOKEN_MILLIS

    /** Sends the call to the best target, lets it wait, or refuses it. */
    private fun dispatch() {
        cancelWait()
        context.waitingRoom.leave(this)
        adapterTarget = null
        waitsForModel = false
        // A waiting call follows changes of the configuration: its route or key may be gone, or its service changed.
        val configuration = context.configuration
        val passed = CallGate.check(configuration, call).fold({ return endWhole(it) }, { it })
        val route = passed.route.also { this.route = it }
        val current = serviceOf(configuration, route)
            ?: return endWhole(Refusal(RefusalKind.UNAVAILABLE, "the route has no service", SHORT_RETRY_MILLIS))
        service = current
        val need = TargetNeed(current, call.work, excluded, context.connectionShare(current.connectionLimit))
        val choice = context.picker.pick(need)
        when {
            choice == null -> withoutTarget(need)
            choice.predictedMillis > patience() -> overloaded(choice)
            choice.needsAdapter -> awaitAdapter(choice)
            else -> send(choice, route)
        }
    }

    private fun serviceOf(configuration: ServedConfiguration?, route: ServedRoute): ServedService? {
        val id: ServiceId = route.service(serviceDraw) ?: return null
        return configuration?.services?.get(id)
    }

    private fun withoutTarget(need: TargetNeed) {
        val work = call.work
        val expected = work?.let { context.expectedMillis(it) } ?: EXPECTED_LOAD_MILLIS
        val remaining = remaining()
        when {
            work == null || need.service.engine == null || mayHaveRun || context.picker.isHeld(need, work.model) ->
                refuseOrGiveUp("no target takes the request", SHORT_RETRY_MILLIS)

            work.model !in need.service.engine.models ->
                refuseOrGiveUp("the service has no model ${work.model}", null)

            expected + LEAST_SERVICE_MILLIS > remaining ->
                refuseOrGiveUp("model ${work.model} is not loaded in time", expected)

            else -> {
                waitsForModel = true
                // A target that could not be reached, or had no room, may be free again by then.
                excluded.clear()
                await(remaining - LEAST_SERVICE_MILLIS, "model ${work.model} was not loaded in time")
            }
        }
    }

    private fun awaitAdapter(choice: TargetChoice) {
        adapterTarget = choice.target
        val remaining = remaining()
        await(
            minOf(remaining - LEAST_SERVICE_MILLIS, ADAPTER_WAIT_MILLIS),
            "the adapter of model ${call.work?.model} was not loaded in time",
        )
        context.wantAdapter(this)
    }

    private fun await(limitMillis: Long, reason: String) {
        context.waitingRoom.enter(this)
        cancelWait = loop.schedule(limitMillis.coerceAtLeast(0)) {
            val target = adapterTarget
            context.waitingRoom.leave(this)
            if (target != null && remaining() > ADAPTER_WAIT_MILLIS) {
                // Another target may get the adapter where this one could not.
                excluded += target.record.id
                dispatch()
            } else {
                refuseOrGiveUp(reason, SHORT_RETRY_MILLIS)
            }
        }
    }

    /** Milliseconds left for the call at this VM. */
    private fun remaining(): Long = minOf(endMillis - loop.nowMillis(), context.stopMillis ?: Long.MAX_VALUE)

    /** Longest predicted time to the first event for which a target is still asked. */
    private fun patience(): Double = remaining() * PATIENCE_SHARE

    private fun overloaded(choice: TargetChoice) {
        refuseOrGiveUp(
            "the first event is expected after ${choice.predictedMillis.toLong()} ms",
            (choice.predictedMillis * RETRY_AFTER_SHARE).toLong().coerceAtLeast(SHORT_RETRY_MILLIS),
        )
    }

    private fun send(choice: TargetChoice, route: ServedRoute) {
        val now = loop.nowMillis()
        val remaining = endMillis - now
        val work = call.work
        val isStream = route.kind == RouteKind.STREAMING
        val request = TargetRequest(
            call = call,
            remainingMillis = remaining,
            team = team?.id,
            urgency = work?.let { Urgency.of(route, team) },
            lastEventId = relay.lastEventId ?: call.lastEventId,
            connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS.coerceAtMost(remaining).toInt().coerceAtLeast(1),
            reuseIdleMillis = if (route.isRepeatable) REUSE_IDLE_MILLIS else REUSE_IDLE_ONCE_MILLIS,
        )
        val load = context.picker.sent(choice, work)
        val attempt = ActiveAttempt(choice, load, isStream)
        active = attempt
        sends++
        runs++
        attempt.handle = context.transport.send(choice.target.record, request, attempt)
        if (work?.adapter != null) {
            adapterTarget = choice.target
            context.usedAdapter(this)
        }
        watchSilence(attempt, route)
    }

    /** Ends an attempt that stays silent for far longer than predicted, where the request may run again. */
    private fun watchSilence(attempt: ActiveAttempt, route: ServedRoute) {
        if (!route.isRepeatable) return
        val limit = if (attempt.hasBytes) {
            PAUSE_FACTOR * route.pauseLimitMillis.coerceAtLeast(LEAST_PAUSE_MILLIS)
        } else {
            maxOf(
                (attempt.choice.predictedMillis * SILENCE_FACTOR).toLong() + SILENCE_MARGIN_MILLIS,
                (route.targetLatencyMillis * SILENCE_TARGET_SHARE).toLong(),
            )
        }
        cancelSilence = loop.schedule(limit) {
            val idle = loop.nowMillis() - attempt.lastByteMillis
            when {
                active !== attempt -> Unit
                attempt.paused || idle < limit -> watchSilence(attempt, route)
                canRepeat(route) -> silent(attempt)
            }
        }
    }

    private fun silent(attempt: ActiveAttempt) {
        attempt.handle?.cancel()
        attempt.choice.target.health.unreachable(loop.nowMillis())
        failed(attempt, "no byte for ${loop.nowMillis() - attempt.lastByteMillis} ms")
    }

    private fun canRepeat(route: ServedRoute): Boolean =
        route.isRepeatable && runs < route.attemptLimit && sends < SEND_LIMIT &&
            remaining() > LEAST_SERVICE_MILLIS

    /** The attempt may have run and has no usable answer. */
    private fun failed(attempt: ActiveAttempt, reason: String) {
        close(attempt)
        lastFailure = reason
        excluded += attempt.choice.target.record.id
        recordAttempt(attempt, reason)
        val current = route ?: return
        val id = attempt.choice.target.record.service
        if (canRepeat(current) && context.tryRetry(id)) dispatch() else giveUp(reason)
    }

    /** The attempt has certainly not run. */
    private fun notRun(attempt: ActiveAttempt, reason: String, arrived: Boolean) {
        close(attempt)
        runs--
        lastFailure = reason
        recordAttempt(attempt, reason)
        if (attempt.excludeAfterRefusal) excluded += attempt.choice.target.record.id
        val id = attempt.choice.target.record.service
        val again = sends < SEND_LIMIT && remaining() > LEAST_SERVICE_MILLIS &&
            (!arrived || context.tryRetry(id))
        if (again) dispatch() else refuseOrGiveUp(reason, SHORT_RETRY_MILLIS)
    }

    /** Ends the call without an answer of a target: as not run if that is certain. */
    private fun refuseOrGiveUp(reason: String, retryAfterMillis: Long?) {
        if (mayHaveRun) return giveUp(reason)
        end(Refusal(RefusalKind.OVERLOADED, reason, retryAfterMillis))
    }

    private fun giveUp(reason: String) {
        endWhole(Refusal(RefusalKind.TARGET_FAILED, reason))
    }

    /** Ends with [refusal], whose promise is weakened if the request may have run. */
    private fun endWhole(refusal: Refusal) {
        val promisesNotRun = refusal.kind != RefusalKind.TARGET_FAILED && refusal.kind != RefusalKind.TIMED_OUT
        end(if (mayHaveRun && promisesNotRun) Refusal(RefusalKind.TARGET_FAILED, refusal.reason) else refusal)
    }

    private fun timeOver() {
        val attempt = active
        attempt?.handle?.cancel()
        val reason = when {
            attempt != null -> "no whole answer of ${attempt.choice.target.record.id} in time"
            else -> "waited until the end of its time"
        }
        attempt?.let {
            if (!it.hasBytes) it.choice.target.health.failed(loop.nowMillis())
            close(it)
        }
        if (mayHaveRun) end(Refusal(RefusalKind.TIMED_OUT, reason)) else refuseOrGiveUp(reason, SHORT_RETRY_MILLIS)
    }

    private fun callerGone() {
        if (isOver) return
        active?.let {
            it.handle?.cancel()
            close(it)
        }
        finish("caller-gone", null)
    }

    private fun end(refusal: Refusal) {
        if (isOver) return
        if (relay.isStarted) {
            exchange.abort()
        } else {
            val text = "${refusal.reason}. ${refusal.kind.remedy}\n"
            val headers = context.refusalHeaders.of(call, refusal)
            exchange.answer(refusal.status, headers, text.toByteArray(), context.isStopping)
        }
        if (!mayHaveRun) team?.let { context.rates.giveBack(it.id, units) }
        finish(if (relay.isStarted) "broken-off" else refusal.kind.name.lowercase(), refusal)
    }

    private fun finish(outcome: String, refusal: Refusal?) {
        isOver = true
        cancelEnd()
        cancelWait()
        cancelSilence()
        context.waitingRoom.leave(this)
        exchange.onGone = null
        exchange.onWritable = null
        record(outcome, refusal)
        context.ended(this)
    }

    private fun close(attempt: ActiveAttempt) {
        cancelSilence()
        if (active === attempt) active = null
        context.picker.ended(attempt.choice.target, attempt.load)
    }

    private fun record(outcome: String, refusal: Refusal?) {
        context.recorder.event("request.ended", call.id) {
            field("outcome", outcome)
            field("status", refusal?.status ?: lastStatus)
            field("reason", refusal?.reason)
            field("route", route?.id)
            field("team", team?.id)
            field("model", call.work?.model)
            field("adapter", call.work?.adapter)
            field("millis", loop.nowMillis() - startedMillis)
            field("deadline_millis", call.deadlineMillis)
            field("sends", sends)
            field("last_failure", lastFailure.ifEmpty { null })
            field("configuration", context.configuration?.version)
            field("retry_after_millis", refusal?.retryAfterMillis)
        }
    }

    private fun recordAttempt(attempt: ActiveAttempt, reason: String) {
        context.recorder.event("attempt.failed", call.id) {
            field("target", attempt.choice.target.record.id)
            field("reason", reason)
            field("millis", loop.nowMillis() - attempt.load.sentMillis)
            field("predicted_millis", attempt.choice.predictedMillis.toLong())
            field("failure_share", attempt.choice.target.health.currentFailureShare(loop.nowMillis()))
        }
    }

    /** One attempt and the listener of its answer. */
    private inner class ActiveAttempt(val choice: TargetChoice, val load: AttemptLoad, val isStream: Boolean) :
        AttemptListener {
        var handle: Attempt? = null
        var hasBytes = false
        var paused = false
        var lastByteMillis = loop.nowMillis()
        var excludeAfterRefusal = true
        private var head: AnswerHead? = null
        private val isActive get() = active === this

        override fun head(head: AnswerHead) {
            if (!isActive) return
            heard()
            this.head = head
            head.load?.let { choice.target.reported(it, loop.nowMillis()) }
            if (!head.isOwn || (head.isSuccess && !head.isSigned)) {
                handle?.cancel()
                choice.target.health.failed(loop.nowMillis())
                return failed(this, "the answer is not the target's own answer to this request")
            }
            if (!head.notRun) relay.begin(head, isStream && head.isSuccess)
        }

        override fun bytes(bytes: ByteArray) {
            val current = head
            if (!isActive || current == null || current.notRun) return
            heard()
            if (isStream && current.isSuccess && !hasBytes) {
                context.picker.answered(choice.target, load, call.work)
            }
            hasBytes = true
            if (!relay.bytes(bytes)) {
                handle?.cancel()
                return failed(this, "the answer cannot be read")
            }
            if (!exchange.isWritable && !paused) pause()
        }

        override fun complete() {
            val current = head
            if (!isActive || current == null) return
            val now = loop.nowMillis()
            when {
                current.notRun -> refused(current)

                shouldReplace(current) -> {
                    choice.target.health.failed(now)
                    failed(this, "status ${current.status}")
                }

                else -> answered(current)
            }
        }

        override fun notSent(reason: String) {
            if (!isActive) return
            choice.target.health.unreachable(loop.nowMillis())
            notRun(this, reason, arrived = false)
        }

        override fun broken(reason: String) {
            if (!isActive) return
            choice.target.health.failed(loop.nowMillis())
            failed(this, reason)
        }

        private fun heard() {
            lastByteMillis = loop.nowMillis()
            choice.target.health.heard(lastByteMillis)
        }

        private fun pause() {
            paused = true
            handle?.pause(true)
            exchange.onWritable = {
                paused = false
                lastByteMillis = loop.nowMillis()
                if (isActive) handle?.pause(false)
            }
        }

        private fun refused(head: AnswerHead) {
            val work = call.work
            val now = loop.nowMillis()
            when {
                head.answeredByOther -> choice.target.health.suspend(now, REPLACED_SUSPENSION_MILLIS)

                head.misdirected && work != null -> {
                    val lacked = work.adapter.takeIf { choice.target.holds(work.model, null, now) }
                    choice.target.lacks(work.model, lacked, now)
                    excludeAfterRefusal = false
                }

                else -> choice.target.health.failed(now)
            }
            notRun(this, "refused with status ${head.status}", arrived = true)
        }

        /** A failure of the target itself; another one may do better, if the request may run again. */
        private fun shouldReplace(head: AnswerHead): Boolean {
            val current = route
            return head.status >= FIRST_SERVER_ERROR && current != null && canRepeat(current) && !relay.isStarted
        }

        private fun answered(head: AnswerHead) {
            val now = loop.nowMillis()
            if (!isStream) context.picker.answered(choice.target, load, call.work)
            // These statuses promise that the request has not run, which only the target could know.
            val contradicts = head.status in PROMISES_NOT_RUN || !head.isSigned
            if (contradicts && !relay.isStarted) {
                choice.target.health.failed(now)
                return failed(this, "status ${head.status} without the statement that it was not run")
            }
            if (head.status >= FIRST_SERVER_ERROR) choice.target.health.failed(now)
            if (!relay.complete()) return failed(this, "the stream ended within an event")
            if (head.isSuccess) choice.target.health.succeeded(now)
            lastStatus = head.status
            close(this)
            finish("answered", null)
        }
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        val PROMISES_NOT_RUN = setOf(408, 421, 429, 503)
    }
}
