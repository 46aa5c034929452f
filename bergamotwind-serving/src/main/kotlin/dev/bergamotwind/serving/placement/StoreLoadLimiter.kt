package dev.bergamotwind.serving.placement

/** Paces loads from the weight store. A new holder of orders starts without any, because others may have just begun. */
internal class StoreLoadLimiter {
    private var level = 0.0
    private var updatedMillis: Long? = null

    /** Loads that may begin now, at a rate of [loadsPerSecond]. */
    fun available(nowMillis: Long, loadsPerSecond: Double): Int {
        val since = nowMillis - (updatedMillis ?: nowMillis)
        updatedMillis = nowMillis
        val burst = (loadsPerSecond * STORE_BURST_SECONDS).coerceAtLeast(STORE_BURST_LEAST)
        level = (level + since * loadsPerSecond / MILLIS_PER_SECOND).coerceAtMost(burst)
        return level.toInt()
    }

    /** A load begins. */
    fun begin() {
        level -= 1
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
