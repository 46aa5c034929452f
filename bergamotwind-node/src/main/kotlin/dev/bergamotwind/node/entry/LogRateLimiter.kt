package dev.bergamotwind.node.entry

/** Token bucket for log lines; its last third is reserved for lines that are not routine. Thread-safe. */
internal class LogRateLimiter(private val linesPerSecond: Int) {
    private var tokens = linesPerSecond.toDouble()
    private var updatedNanos = 0L

    /** Returns whether a line may be written, and if so takes one token. */
    @Synchronized
    fun tryAcquire(nowNanos: Long, isRoutine: Boolean): Boolean {
        if (updatedNanos != 0L) {
            val seconds = (nowNanos - updatedNanos) / NANOS_PER_SECOND
            tokens = (tokens + seconds * linesPerSecond).coerceAtMost(linesPerSecond.toDouble())
        }
        updatedNanos = nowNanos
        val reserve = if (isRoutine) linesPerSecond / RESERVE_DIVISOR else 0
        if (tokens < 1 + reserve) return false
        tokens -= 1
        return true
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000.0
        const val RESERVE_DIVISOR = 3
    }
}
