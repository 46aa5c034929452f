package dev.bergamotwind.serving.targets

/** What one incarnation of a target has stated about taking work from this VM. Used on the serving loop. */
internal class TargetAvailability {
    /** True once the target has said that it is leaving; only another start of the target takes that back. */
    var isLeaving = false
        private set

    /** End of the rest that the target has asked for, or null when it has asked for none. */
    var restEndMillis: Long? = null
        private set

    /** Applies a statement in an answer to a request that was sent at [sentMillis]. */
    fun apply(statement: TargetStatement, sentMillis: Long, nowMillis: Long) {
        if (statement.isLeaving) isLeaving = true
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

    /** True while the statements restrict what may be sent. */
    fun isRestricted(nowMillis: Long): Boolean = isLeaving || isResting(nowMillis)

    /** True while the target rests. */
    fun isResting(nowMillis: Long): Boolean = restEndMillis.let { it != null && nowMillis < it }
}
