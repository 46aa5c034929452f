package dev.bergamotwind.platform

import dev.bergamotwind.api.Clock

/**
 * Token bucket over calls: [callsPerSecond] calls a second and at most one second's worth at once. The last
 * [reserved] calls in the bucket are kept for keep-alives.
 */
internal class CallBudget(private val callsPerSecond: Int, private val reserved: Int, private val clock: Clock) {
    private var available = callsPerSecond.toDouble()
    private var refilledNanos = clock.monotonicNanos()

    /** Takes one call out of the budget, or returns false. */
    @Synchronized
    fun take(kind: CallKind): Boolean {
        val now = clock.monotonicNanos()
        val refill = (now - refilledNanos) / NANOS_PER_SECOND * callsPerSecond
        available = minOf(callsPerSecond.toDouble(), available + refill)
        refilledNanos = now
        val floor = if (kind == CallKind.KEEP_ALIVE) 0 else reserved
        if (available - 1 < floor) return false
        available -= 1
        return true
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
