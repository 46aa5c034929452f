package dev.bergamotwind.serving.call

import dev.bergamotwind.api.CallerExchange
import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.targets.AttemptLoad
import dev.bergamotwind.serving.targets.REPLACED_SUSPENSION_MILLIS
import dev.bergamotwind.serving.targets.TargetChoice
import dev.bergamotwind.serving.targets.TargetState

/** One attempt to have a call answered by a target; judges the answer and relays it. Used on the serving loop. */
internal class CallAttempt(
    val choice: TargetChoice,
    val load: AttemptLoad,
    private val call: Call,
    private val progress: CallProgress,
    private val relay: ResponseRelay,
    private val exchange: CallerExchange,
    private val context: ServingContext,
    private val owner: AttemptOutcomeHandler,
) : AttemptListener {
    private val isStream = progress.route?.kind == RouteKind.STREAMING
    private var handle: Attempt? = null
    private var head: ResponseHead? = null

    private var cancelRefusal: () -> Unit = {}

    /**
     * Time at which the answer last got further: by its head, a byte of a plain answer or a whole event of a stream.
     * A byte now and then does not count for a stream, or a stalled one would never be given up.
     */
    var lastProgressMillis = context.loop.nowMillis()
        private set

    /** True once a byte of a plain answer, or a whole event of a stream, has arrived. */
    var hasBytes = false
        private set

    /** True while the caller reads too slowly, so that the answer is not read either. */
    var isPaused = false
        private set

    /** The target that is asked. */
    val target: TargetState get() = choice.target

    /** True when a refusal concerns this request only, so that the target may be asked again later. */
    var mayAskAgain = false
        private set

    private val isActive get() = owner.isActive(this)
    private val now get() = context.loop.nowMillis()

    /** Sends [request]. */
    fun send(request: TargetRequest) {
        handle = context.transport.send(target.record, request, this)
    }

    /** Ends the attempt so that the target stops work. */
    fun cancel() {
        handle?.cancel()
    }

    override fun head(head: ResponseHead) {
        if (!isActive) return
        heard()
        lastProgressMillis = now
        this.head = head
        head.load?.let { target.reported(it, now) }
        when {
            !head.isOwn || (head.isSuccess && !head.isSigned) ->
                spoiled("the answer is not the target's own answer to this request")

            // The head says it all; a body that does not end soon is not waited for.
            head.notRun -> cancelRefusal = context.loop.schedule(REFUSAL_BODY_MILLIS) {
                if (isActive) {
                    handle?.cancel()
                    refused(head)
                }
            }

            // The caller already has the status of a success, so a failure can only break the stream off.
            relay.isStarted && !head.isSuccess -> spoiled("the resumption was answered with status ${head.status}")

            else -> relay.begin(head, isStream && head.isSuccess)
        }
    }

    override fun bytes(bytes: ByteArray) {
        val current = head
        if (!isActive || current == null || current.notRun) return
        heard()
        val before = relay.events
        if (!relay.bytes(bytes)) return spoiled("the answer cannot be read")
        if (!(isStream && current.isSuccess) || relay.events > before) progressed(current)
        if (!exchange.isWritable && !isPaused) pause()
    }

    override fun complete() {
        val current = head
        if (!isActive || current == null) return
        when {
            current.notRun -> refused(current)
            contradicts(current) -> spoiled("status ${current.status} without the statement that it was not run")
            shouldReplace(current) -> spoiled("status ${current.status}")
            else -> answered(current)
        }
    }

    override fun notSent(reason: String) {
        if (!isActive) return
        target.health.unreachable(now)
        owner.notRun(this, reason, arrived = false)
    }

    override fun broken(reason: String) {
        if (!isActive) return
        target.health.failed(now)
        owner.failed(this, reason)
    }

    private fun heard(): Unit = target.health.heard(now)

    private fun progressed(head: ResponseHead) {
        lastProgressMillis = now
        if (isStream && head.isSuccess && !hasBytes) context.picker.answered(target, load, call.work)
        hasBytes = true
    }

    private fun spoiled(reason: String) {
        handle?.cancel()
        target.health.failed(now)
        owner.failed(this, reason)
    }

    private fun pause() {
        isPaused = true
        handle?.pause(true)
        exchange.onWritable = {
            isPaused = false
            lastProgressMillis = now
            if (isActive) handle?.pause(false)
        }
    }

    private fun refused(head: ResponseHead) {
        cancelRefusal()
        val work = call.work
        when {
            head.answeredByOther -> target.health.suspend(now, REPLACED_SUSPENSION_MILLIS)

            head.misdirected && work != null -> {
                val lacked = work.adapter.takeIf { target.holds(work.model, null, now) }
                target.lacks(work.model, lacked, now)
                mayAskAgain = true
            }

            else -> target.health.failed(now)
        }
        owner.notRun(this, "refused with status ${head.status}", arrived = true)
    }

    /** These statuses promise that the request has not run, which only the target could know. */
    private fun contradicts(head: ResponseHead): Boolean =
        !relay.isStarted && (head.status in PROMISES_NOT_RUN || !head.isSigned)

    /** A failure of the target itself; another one may do better, if the request may run again. */
    private fun shouldReplace(head: ResponseHead): Boolean =
        head.status >= FIRST_SERVER_ERROR && progress.mayRunAgain && !relay.isStarted

    private fun answered(head: ResponseHead) {
        if (!isStream) context.picker.answered(target, load, call.work)
        if (head.status >= FIRST_SERVER_ERROR) target.health.failed(now)
        if (!relay.complete()) return spoiled("the stream ended within an event")
        if (head.isSuccess) target.health.succeeded(now)
        owner.answered(this, head.status)
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        val PROMISES_NOT_RUN = setOf(408, 421, 429, 503)
    }
}
