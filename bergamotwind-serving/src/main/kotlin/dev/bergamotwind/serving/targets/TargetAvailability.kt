package dev.bergamotwind.serving.targets

import dev.bergamotwind.serving.call.SHORT_RETRY_AFTER_MILLIS

/** What one incarnation of a target has stated about taking work from this VM. Used on the serving loop. */
internal class TargetAvailability {
    /** True once the target has said that it is leaving, to anyone; only another start of it takes that back. */
    var isLeaving = false
        private set

    /** End of the rest that the target has asked for, or null when it has asked for none. */
    var restEndMillis: Long? = null
        private set

    /** Time at which the last request was sent. */
    private var lastSentMillis = Long.MIN_VALUE / 2

    /** Applies a statement in an answer to a request that was sent at [sentMillis]. */
    fun apply(statement: TargetStatement, sentMillis: Long, nowMillis: Long) {
        if (statement.isLeaving) recordLeaving()
        val end = restEndMillis
        val rest = statement.restMillis
        when {
            rest != null -> {
                val newEnd = nowMillis + rest.coerceAtMost(TARGET_STATEMENT_LIFETIME_MILLIS)
                restEndMillis = maxOf(end ?: newEnd, newEnd)
            }

            // Answers to earlier requests say nothing about the time after the rest.
            end != null && sentMillis >= end -> restEndMillis = null
        }
    }

    /** Records that the target has said that it is leaving. */
    fun recordLeaving() {
        isLeaving = true
    }

    /** Records that a request is sent to the target. */
    fun recordSent(nowMillis: Long) {
        lastSentMillis = nowMillis
    }

    /**
     * Milliseconds until a request may be sent; 0 when one may be sent now. After the rest one request goes first, and
     * another one only if the first stays without an answer for [TRIAL_MILLIS].
     */
    fun millisUntilAvailable(nowMillis: Long): Long {
        val end = restEndMillis ?: return 0
        val nextMillis = if (lastSentMillis >= end) lastSentMillis + TRIAL_MILLIS else end
        return (nextMillis - nowMillis).coerceAtLeast(0)
    }

    /** True while the statements restrict what may be sent. */
    fun isRestricted(nowMillis: Long): Boolean = isLeaving || isResting(nowMillis)

    /** True while the target rests. */
    fun isResting(nowMillis: Long): Boolean = restEndMillis.let { it != null && nowMillis < it }

    private companion object {
        /** A target that turns requests away does so at once; one that works on the trial may take longer. */
        const val TRIAL_MILLIS = SHORT_RETRY_AFTER_MILLIS
    }
}
