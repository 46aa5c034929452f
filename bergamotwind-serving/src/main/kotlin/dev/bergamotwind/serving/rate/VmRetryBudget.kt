package dev.bergamotwind.serving.rate

/**
 * This VM's share of the retries that a service may receive: a share of the VM's own requests and its part of a fixed
 * number in each window. The shares of all VMs add up to the total, so a retry needs no communication between VMs.
 * Used by one thread.
 */
public class VmRetryBudget(
    private val shareOfRequests: Double,
    private val fixedPerWindow: Double,
    private val windowMillis: Long,
) {
    private var level = 0.0
    private var updatedMillis: Long? = null

    /** Records that a request for the service has arrived. */
    public fun recordRequest() {
        level += shareOfRequests * RETRY_MARGIN
    }

    /** Takes one retry if it is available; [vmCount] VMs share the fixed number. */
    public fun tryTakeRetry(nowMillis: Long, vmCount: Int): Boolean {
        val part = fixedPerWindow * RETRY_MARGIN / vmCount
        val since = updatedMillis?.let { nowMillis - it } ?: windowMillis
        updatedMillis = nowMillis
        // Half of the part is saved and half is added during a window, so no window exceeds the part.
        level = (level + part / 2 * since / windowMillis).coerceAtMost(part / 2 + SAVED_REQUESTS * shareOfRequests)
        if (level < 1) return false
        level -= 1
        return true
    }
}
