package dev.bergamotwind.routing

/** Starts and ends of this node's own calls to a target that the target's last report cannot include yet. */
internal class LoadCorrection {
    private val callEvents = ArrayDeque<Long>()
    private var sum = 0

    /** Starts minus ends since [REPORT_LAG] before the last report. */
    val netStarts: Int get() = sum

    fun addStart(nowNanos: Long) = add(nowNanos, 1)

    fun addEnd(nowNanos: Long) = add(nowNanos, -1)

    /** Drops the events that a report received now includes: it was made at most [REPORT_LAG] earlier. */
    fun discardReported(nowNanos: Long) {
        val lagStart = nowNanos - REPORT_LAG.inWholeNanoseconds
        while (callEvents.isNotEmpty() && (callEvents.first() shr 1) < (lagStart shr 1)) removeOldest()
    }

    private fun add(nowNanos: Long, change: Int) {
        if (callEvents.size == LOAD_CORRECTION_LIMIT) removeOldest()
        // The lowest bit of the time distinguishes starts (1) from ends (0), so that an event fits into one Long.
        callEvents.addLast(if (change > 0) nowNanos or 1L else nowNanos and 1L.inv())
        sum += change
    }

    private fun removeOldest() {
        sum -= if (callEvents.removeFirst() and 1L == 1L) 1 else -1
    }
}
