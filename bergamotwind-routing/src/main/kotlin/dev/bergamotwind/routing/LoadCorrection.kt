package dev.bergamotwind.routing

/** Own starts and ends at a target that its last report cannot contain yet. */
internal class LoadCorrection {
    private val events = ArrayDeque<Long>()
    private var sum = 0

    /** Starts less ends since [REPORT_LAG] before the last report. */
    val change: Int get() = sum

    fun started(nowNanos: Long) = add(nowNanos, 1)

    fun ended(nowNanos: Long) = add(nowNanos, -1)

    /** A report was received; it was made at most [REPORT_LAG] earlier. */
    fun reported(nowNanos: Long) {
        val lagStart = nowNanos - REPORT_LAG.inWholeNanoseconds
        while (events.isNotEmpty() && (events.first() shr 1) < (lagStart shr 1)) dropFirst()
    }

    private fun add(nowNanos: Long, change: Int) {
        if (events.size == LOAD_CORRECTION_LIMIT) dropFirst()
        // The lowest bit of the time tells starts from ends, which keeps an event in one number.
        events.addLast(if (change > 0) nowNanos or 1L else nowNanos and 1L.inv())
        sum += change
    }

    private fun dropFirst() {
        sum -= if (events.removeFirst() and 1L == 1L) 1 else -1
    }
}
