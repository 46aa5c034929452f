package dev.bergamotwind.node.entry

/** A budget of log lines a second; its last third is kept for lines that are not routine. For one thread. */
internal class LineBudget(private val linesPerSecond: Int) {
    private var level = linesPerSecond.toDouble()
    private var updatedNanos = 0L

    /** Takes one line from the budget if it may be written. */
    @Synchronized
    fun take(nowNanos: Long, isRoutine: Boolean): Boolean {
        if (updatedNanos != 0L) {
            val seconds = (nowNanos - updatedNanos) / NANOS_PER_SECOND
            level = (level + seconds * linesPerSecond).coerceAtMost(linesPerSecond.toDouble())
        }
        updatedNanos = nowNanos
        val reserve = if (isRoutine) linesPerSecond / RESERVE_PART else 0
        if (level < 1 + reserve) return false
        level -= 1
        return true
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000.0
        const val RESERVE_PART = 3
    }
}
