package dev.bergamotwind.routing

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Limits retries and hedged requests to a tenth of the calls. It starts empty, so the limit holds from the first call
 * on. Safe for use by several threads.
 */
public class RetryBudget(private val callsPerRetry: Int = CALLS_PER_RETRY, savedRetries: Int = SAVED_RETRIES_LIMIT) {
    private val limit = savedRetries * callsPerRetry
    private val saved = AtomicInteger()
    private val callCount = AtomicLong()
    private val retryCount = AtomicLong()

    /** Calls so far. */
    public val calls: Long get() = callCount.get()

    /** Retries and hedged requests so far. */
    public val retries: Long get() = retryCount.get()

    /** A request was sent for the first time. */
    public fun called() {
        callCount.incrementAndGet()
        saved.updateAndGet { minOf(it + 1, limit) }
    }

    /** Takes a retry from the budget; false when it must not be made. Work that is not idempotent never gets one. */
    public fun tryRetry(idempotent: Boolean): Boolean {
        if (!idempotent) return false
        val before = saved.getAndUpdate { if (it >= callsPerRetry) it - callsPerRetry else it }
        return (before >= callsPerRetry).also { if (it) retryCount.incrementAndGet() }
    }
}
