package dev.bergamotwind.admission

/**
 * Estimates the tokens per second that one concurrency permit serves, from completed requests. The estimate does not
 * depend on how busy the node was, so it is as good after an idle period as at any other time.
 */
internal class ServiceRateEstimator {
    private var servedTokens = 0.0
    private var serviceSeconds = 0.0

    fun recordCompletion(estimatedTokens: Long, serviceNanos: Long) {
        servedTokens = servedTokens * DECAY_FACTOR + estimatedTokens
        serviceSeconds = serviceSeconds * DECAY_FACTOR + serviceNanos / NANOS_PER_SECOND
    }

    /** Nanoseconds that [concurrencyLimit] permits need to serve [tokensAhead]; 0 before any request has completed. */
    fun estimateWaitNanos(tokensAhead: Double, concurrencyLimit: Int): Long {
        if (servedTokens <= 0 || concurrencyLimit <= 0) return 0
        return (tokensAhead * serviceSeconds / (servedTokens * concurrencyLimit) * NANOS_PER_SECOND).toLong()
    }

    private companion object {
        /** Factor by which older requests decay at each completion; the average spans about the last 50 requests. */
        const val DECAY_FACTOR = 0.98
    }
}
