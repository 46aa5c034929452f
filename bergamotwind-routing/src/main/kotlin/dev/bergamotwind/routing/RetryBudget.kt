package dev.bergamotwind.routing

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Limits retries and hedged requests to one per [callsPerRetry] calls. The budget starts empty, so the limit holds from
 * the first call on. Thread-safe.
 */
public class RetryBudget(private val callsPerRetry: Int = CALLS_PER_RETRY, maxSavedRetries: Int = MAX_SAVED_RETRIES) {
    private val maxCredit = maxSavedRetries * callsPerRetry
    private val credit = AtomicInteger()
    private val callCount = AtomicLong()
    private val retryCount = AtomicLong()

    /** Calls recorded so far. */
    public val calls: Long get() = callCount.get()

    /** Retries and hedged requests granted so far. */
    public val retries: Long get() = retryCount.get()

    /** Records that a request was sent for the first time. */
    public fun recordCall() {
        callCount.incrementAndGet()
        credit.updateAndGet { minOf(it + 1, maxCredit) }
    }

    /** Takes a retry from the budget; false when none may be made. A request that is not idempotent never gets one. */
    public fun tryAcquireRetry(idempotent: Boolean): Boolean {
        if (!idempotent) return false
        val previousCredit = credit.getAndUpdate { if (it >= callsPerRetry) it - callsPerRetry else it }
        return (previousCredit >= callsPerRetry).also { if (it) retryCount.incrementAndGet() }
    }
}
