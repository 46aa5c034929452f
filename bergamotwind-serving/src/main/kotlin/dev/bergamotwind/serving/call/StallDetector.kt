package dev.bergamotwind.serving.call

import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.catalogue.ServedRoute

/** Notices an attempt that stays silent for far longer than predicted, before its first byte or between events. */
internal class StallDetector(private val loop: ServingLoop) {
    private var cancelNext: () -> Unit = {}

    /** Watches [attempt] until [cancel]; [onSilence] is called at each check that finds it silent. */
    fun watch(attempt: CallAttempt, route: ServedRoute, onSilence: (CallAttempt) -> Unit) {
        cancelNext = loop.schedule(limitMillis(attempt, route)) {
            // The next check comes first, because the silence may end this watch.
            watch(attempt, route, onSilence)
            // The limit is that of now: the answer may have begun since the check was scheduled.
            val silentMillis = loop.nowMillis() - attempt.lastProgressMillis
            if (!attempt.isPaused && silentMillis >= limitMillis(attempt, route)) onSilence(attempt)
        }
    }

    /** Ends the watch. */
    fun cancel(): Unit = cancelNext()

    private fun limitMillis(attempt: CallAttempt, route: ServedRoute): Long = if (attempt.hasBytes) {
        PAUSE_FACTOR * route.pauseLimitMillis.coerceAtLeast(LEAST_PAUSE_MILLIS)
    } else {
        maxOf(
            (attempt.choice.predictedMillis * SILENCE_FACTOR).toLong() + SILENCE_MARGIN_MILLIS,
            (route.targetLatencyMillis * SILENCE_TARGET_SHARE).toLong(),
        )
    }
}
