package dev.bergamotwind.serving.call

import dev.bergamotwind.api.CallerExchange
import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.crash.BrokenAttempt
import dev.bergamotwind.serving.targets.AttemptLoad
import dev.bergamotwind.serving.targets.REPLACED_SUSPENSION_MILLIS
import dev.bergamotwind.serving.targets.TargetChoice
import dev.bergamotwind.serving.targets.TargetState

/** One attempt to serve a call at a target: validates the response and relays it. Used on the serving loop. */
internal class CallAttempt(
    val choice: TargetChoice,
    val load: AttemptLoad,
    private val call: Call,
    private val progress: CallProgress,
    private val relay: ResponseRelay,
    private val exchange: CallerExchange,
    private val context: ServingContext,
    private val outcomeHandler: AttemptOutcomeHandler,
) : AttemptListener {
    private val memory = context.answerMemory.share {
        fail("the answers to all requests together take too much memory")
    }
    private val isStream = progress.route?.kind == RouteKind.STREAMING
    private var handle: Attempt? = null
    private var head: ResponseHead? = null

    /** Time of the first complete event, or of the first byte of a plain response; null before. */
    private var answeredSinceMillis: Long? = null

    private var isRecordedAsSound = false
    private var cancelBodyTimeout: () -> Unit = {}

    /**
     * Time of the last progress of the response: its head, a byte of a plain response or a complete event of a stream.
     * Single bytes of a stream do not count; otherwise a stalled stream that trickles bytes would never be given up.
     */
    var lastProgressMillis = context.loop.nowMillis()
        private set

    /** True once a byte of a plain response, or a complete event of a stream, has arrived. */
    val hasReceivedBody: Boolean get() = answeredSinceMillis != null

    /** True while reading the response is paused because the caller reads too slowly. */
    var isPaused = false
        private set

    /** The target of this attempt. */
    val target: TargetState get() = choice.target

    /** True when the target refused only this request, so that the call may be sent to it again later. */
    var mayRetryTarget = false
        private set

    /**
     * True while a crash of the engine may have been caused by this request: its answer has not gone on for longer than
     * the longest pause of a stream on time.
     */
    val mayCauseCrash: Boolean
        get() {
            val soundMillis = (progress.route?.maxEventGapMillis ?: 0).coerceAtLeast(MIN_EVENT_GAP_MILLIS)
            return answeredSinceMillis.let { it == null || now - it < soundMillis }
        }

    private val isActive get() = outcomeHandler.isActive(this)
    private val now get() = context.loop.nowMillis()

    /** Sends [request]. */
    fun send(request: TargetRequest) {
        handle = context.transport.send(target.record, request, this)
    }

    /** Aborts the attempt so that the target stops working on it. */
    fun cancel() {
        handle?.cancel()
    }

    /** Drops what is kept of the answer once the attempt has ended. */
    fun release() {
        relay.clear()
        memory.release()
    }

    override fun onHead(head: ResponseHead) {
        if (!isActive) return
        recordContact()
        lastProgressMillis = now
        this.head = head
        head.load?.let { target.recordReportedLoad(it, now) }
        val isOwn = head.belongsToRequest && (!head.isSuccess || head.isSigned)
        if (isOwn && !head.answeredByOther) {
            context.picker.sendLimits.applyAnswer(target, head.requestLimitPerSecond, load.sentMillis)
            context.statements.apply(target, head.statement, load.sentMillis, "answer")
        }
        when {
            !isOwn ->
                fail("the response does not belong to this request or is not signed by the target")

            // The head suffices; a body that does not end soon is not waited for.
            head.notRun -> cancelBodyTimeout = context.loop.schedule(NOT_RUN_BODY_TIMEOUT_MILLIS) {
                if (isActive) {
                    handle?.cancel()
                    handleNotRun(head)
                }
            }

            // The caller has already received a success status, so a failure can only abort the stream.
            relay.isStarted && !head.isSuccess -> fail("the resumed stream was answered with status ${head.status}")

            else -> relay.begin(head, isStream && head.isSuccess)
        }
    }

    override fun onBody(bytes: ByteArray) {
        val current = head
        if (!isActive || current == null || current.notRun) return
        recordContact()
        val before = relay.eventCount
        if (!relay.append(bytes)) return fail("the response exceeds the size limit")
        memory.resize(relay.keptBytes)
        if (!isActive) return
        if (!(isStream && current.isSuccess) || relay.eventCount > before) recordProgress(current)
        if (!exchange.isWritable && !isPaused) pauseUntilWritable()
    }

    override fun onComplete() {
        val current = head
        if (!isActive || current == null) return
        when {
            current.notRun -> handleNotRun(current)

            isUnverified(current) ->
                fail("status ${current.status} is unsigned or lacks the statement that the request was not run")

            shouldRetryElsewhere(current) -> fail("status ${current.status}")

            else -> finishResponse(current)
        }
    }

    override fun onNotSent(reason: String) {
        if (!isActive) return
        if (load.isLimited) context.picker.sendLimits.refund(target)
        target.health.recordUnreachable(now)
        context.crashes.onEnded(target)
        outcomeHandler.onNotRun(this, reason, reachedTarget = false)
    }

    override fun onInterrupted(reason: String) {
        if (!isActive) return
        recordBroken()
        target.health.recordFailure(now)
        outcomeHandler.onFailed(this, reason)
    }

    private fun recordBroken() {
        val parts = call.modelRequest?.sharedParts?.map { it.id } ?: return
        context.crashes.onBroken(target, BrokenAttempt(now, parts, mayCauseCrash))
    }

    private fun recordSound() {
        if (isRecordedAsSound) return
        isRecordedAsSound = true
        call.modelRequest?.let { context.quarantine.onSound(it, answeredSinceMillis ?: now) }
    }

    private fun recordContact(): Unit = target.health.recordContact(now)

    private fun recordProgress(head: ResponseHead) {
        lastProgressMillis = now
        if (isStream && head.isSuccess && !hasReceivedBody) {
            context.picker.recordFirstByte(target, load, call.modelRequest)
        }
        if (answeredSinceMillis == null) answeredSinceMillis = now
        if (!mayCauseCrash) recordSound()
    }

    private fun fail(reason: String) {
        handle?.cancel()
        if (head?.statement?.restMillis == null) target.health.recordFailure(now)
        outcomeHandler.onFailed(this, reason)
    }

    private fun pauseUntilWritable() {
        isPaused = true
        handle?.pauseReading(true)
        exchange.onWritable = {
            isPaused = false
            lastProgressMillis = now
            if (isActive) handle?.pauseReading(false)
        }
    }

    private fun handleNotRun(head: ResponseHead) {
        cancelBodyTimeout()
        val modelRequest = call.modelRequest
        when {
            head.answeredByOther -> target.health.suspend(now, REPLACED_SUSPENSION_MILLIS)

            head.misdirected && modelRequest != null -> {
                val missingAdapter = modelRequest.adapter.takeIf { target.hasLoaded(modelRequest.model, null, now) }
                target.recordMissing(modelRequest.model, missingAdapter, now)
                mayRetryTarget = true
            }

            // A target that says what it takes is sound.
            !head.statement.isRestricting -> target.health.recordFailure(now)
        }
        outcomeHandler.onNotRun(this, "refused with status ${head.status}", reachedTarget = true)
    }

    /**
     * True when the response cannot be passed on as it is: its status promises that the request has not run, which
     * only the target can state, or it is not signed.
     */
    private fun isUnverified(head: ResponseHead): Boolean =
        !relay.isStarted && (head.status in NOT_RUN_STATUSES || !head.isSigned)

    /** True for an error of the target itself when the request may run again, because another target may succeed. */
    private fun shouldRetryElsewhere(head: ResponseHead): Boolean =
        head.status >= FIRST_SERVER_ERROR && progress.mayRunAgain && !relay.isStarted

    private fun finishResponse(head: ResponseHead) {
        if (!isStream) context.picker.recordFirstByte(target, load, call.modelRequest)
        if (head.status >= FIRST_SERVER_ERROR) target.health.recordFailure(now)
        // What is passed on counts as bytes for the caller.
        memory.release()
        if (!relay.complete()) {
            recordBroken()
            return fail("the stream ended within an event or before the first one")
        }
        if (head.isSuccess) {
            target.health.recordSuccess(now)
            context.crashes.onAnswer(target, load.sentMillis)
            recordSound()
            if (isStream) call.modelRequest?.let { context.picker.recordStreamEnd(target, load, it) }
        }
        outcomeHandler.onAnswered(this, head.status)
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
