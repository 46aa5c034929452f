package dev.bergamotwind.admission

/**
 * Tokens per second that one concurrency place serves, from the requests that have ended. It does not depend on how
 * busy the node was, so a prediction made after an idle time is as good as any other.
 */
internal class ServiceMeter {
    private var tokens = 0.0
    private var seconds = 0.0

    fun ended(estimatedTokens: Long, serviceNanos: Long) {
        tokens = tokens * KEPT + estimatedTokens
        seconds = seconds * KEPT + serviceNanos / NANOS_PER_SECOND
    }

    /** Nanoseconds that [limit] places need for [ahead] tokens; 0 while nothing is known. */
    fun predictedNanos(ahead: Double, limit: Int): Long {
        if (tokens <= 0 || limit <= 0) return 0
        return (ahead * seconds / (tokens * limit) * NANOS_PER_SECOND).toLong()
    }

    private companion object {
        /** Weight of the past at each ended request; averages over about the last 50. */
        const val KEPT = 0.98
    }
}
