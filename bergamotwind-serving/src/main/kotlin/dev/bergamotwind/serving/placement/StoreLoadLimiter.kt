package dev.bergamotwind.serving.placement

/**
 * Limits the rate of loads from the weight store (a token bucket). It starts empty, because an earlier holder may have
 * just started loads.
 */
internal class StoreLoadLimiter {
    private var tokens = 0.0
    private var updatedMillis: Long? = null

    /** Returns the number of loads that may start now, at a rate of [loadsPerSecond]. */
    fun availableLoads(nowMillis: Long, loadsPerSecond: Double): Int {
        val since = nowMillis - (updatedMillis ?: nowMillis)
        updatedMillis = nowMillis
        val burst = (loadsPerSecond * STORE_LOAD_BURST_SECONDS).coerceAtLeast(MIN_STORE_LOAD_BURST)
        tokens = (tokens + since * loadsPerSecond / MILLIS_PER_SECOND).coerceAtMost(burst)
        return tokens.toInt()
    }

    /** Records the start of a load. */
    fun recordLoad() {
        tokens -= 1
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
