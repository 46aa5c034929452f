package dev.bergamotwind.serving.call

import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.catalogue.ServedRoute

/** Detects an attempt without progress for far longer than predicted, before its first byte or between events. */
internal class StallDetector(private val loop: ServingLoop) {
    private var cancelNextCheck: () -> Unit = {}

    /** Watches [attempt] until [cancel]; [onStall] is called at each check that finds it stalled. */
    fun watch(attempt: CallAttempt, route: ServedRoute, onStall: (CallAttempt) -> Unit) {
        cancelNextCheck = loop.schedule(limitMillis(attempt, route)) {
            // The next check is scheduled first, because onStall may cancel this watch.
            watch(attempt, route, onStall)
            // The limit is computed anew: the response may have begun since the check was scheduled.
            val silentMillis = loop.nowMillis() - attempt.lastProgressMillis
            if (!attempt.isPaused && silentMillis >= limitMillis(attempt, route)) onStall(attempt)
        }
    }

    /** Stops watching. */
    fun cancel(): Unit = cancelNextCheck()

    private fun limitMillis(attempt: CallAttempt, route: ServedRoute): Long = if (attempt.hasReceivedBody) {
        EVENT_GAP_FACTOR * route.maxEventGapMillis.coerceAtLeast(MIN_EVENT_GAP_MILLIS)
    } else {
        maxOf(
            (attempt.choice.predictedMillis * STALL_FACTOR).toLong() + STALL_MARGIN_MILLIS,
            (route.targetLatencyMillis * STALL_TARGET_LATENCY_SHARE).toLong(),
        )
    }
}
