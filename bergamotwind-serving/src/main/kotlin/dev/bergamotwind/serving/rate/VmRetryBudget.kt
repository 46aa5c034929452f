package dev.bergamotwind.serving.rate

/**
 * This VM's part of the retries that a service may get: a share of the VM's own requests and its part of a fixed
 * number a window. Parts add up to the whole, so no call is needed for a retry. Used by one thread.
 */
public class VmRetryBudget(
    private val shareOfRequests: Double,
    private val fixedPerWindow: Double,
    private val windowMillis: Long,
) {
    private var level = 0.0
    private var updatedMillis: Long? = null

    /** A request for the service has arrived. */
    public fun requested() {
        level += shareOfRequests * RETRY_MARGIN
    }

    /** Takes one retry; [vmCount] VMs share the fixed number. */
    public fun tryRetry(nowMillis: Long, vmCount: Int): Boolean {
        val part = fixedPerWindow * RETRY_MARGIN / vmCount
        val since = updatedMillis?.let { nowMillis - it } ?: windowMillis
        updatedMillis = nowMillis
        // Half of the part is saved and half flows in during a window, so no window sees more than the part.
        level = (level + part / 2 * since / windowMillis).coerceAtMost(part / 2 + SAVED_REQUESTS * shareOfRequests)
        if (level < 1) return false
        level -= 1
        return true
    }
}
