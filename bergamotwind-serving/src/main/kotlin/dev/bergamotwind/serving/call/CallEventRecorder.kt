package dev.bergamotwind.serving.call

import dev.bergamotwind.core.event

/** Records the events of one call. */
internal class CallEventRecorder(
    private val call: Call,
    private val progress: CallProgress,
    private val context: ServingContext,
) {
    /** Records the end of the call. */
    fun recordEnd(outcome: String, status: Int?, refusal: Refusal?): Unit =
        context.recorder.event("request.ended", call.id) {
            field("outcome", outcome)
            field("status", refusal?.status ?: status)
            field("reason", refusal?.reason)
            field("route", progress.route?.id)
            field("team", progress.team?.id)
            field("model", call.modelRequest?.model)
            field("adapter", call.modelRequest?.adapter)
            field("millis", context.loop.nowMillis() - progress.startedMillis)
            field("deadline_millis", call.deadlineMillis)
            field("units", progress.requestedUnits.toLong())
            if (refusal?.kind == RefusalKind.RATE_EXCEEDED) {
                field("units_left", progress.team?.let { context.rateLimiter.level(it.id)?.toLong() })
                field("heard_share", "%.2f".format(context.rateLimiter.heardShare))
            }
            field("sends", progress.sends)
            field("last_failure", progress.lastFailure)
            field("configuration", context.configuration?.version)
            field("retry_after_millis", refusal?.retryAfterMillis)
        }

    /** Records a failed attempt. */
    fun recordFailedAttempt(attempt: CallAttempt, reason: String) {
        val now = context.loop.nowMillis()
        context.recorder.event("attempt.failed", call.id) {
            field("target", attempt.target.record.id)
            field("reason", reason)
            field("may_cause_crash", attempt.mayCauseCrash)
            field("shared_parts", call.modelRequest?.sharedParts?.map { it.id }?.joinToString(",")?.ifEmpty { null })
            field("millis", now - attempt.load.sentMillis)
            field("predicted_millis", attempt.choice.predictedMillis.toLong())
            field("failure_share", "%.2f".format(attempt.target.health.currentFailureShare(now)))
        }
    }
}
