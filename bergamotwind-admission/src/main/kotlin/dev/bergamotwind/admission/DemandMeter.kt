package dev.bergamotwind.admission

import kotlin.math.exp
import kotlin.math.max

/**
 * Measures the demand of one team: an exponentially weighted moving average of tokens per second, and the largest
 * request within the last one to two times [LARGEST_REQUEST_WINDOW_NANOS].
 */
internal class DemandMeter(nowNanos: Long) {
    private var updatedAtNanos = nowNanos
    private var decayedTokens = 0.0
    private var windowStartNanos = nowNanos
    private var largestInWindow = 0L
    private var largestInPreviousWindow = 0L

    fun record(tokens: Long, nowNanos: Long) {
        advance(nowNanos)
        decayedTokens += tokens
        largestInWindow = max(largestInWindow, tokens)
    }

    fun tokensPerSecond(nowNanos: Long): Double {
        advance(nowNanos)
        return decayedTokens / (TIME_CONSTANT_NANOS / NANOS_PER_SECOND)
    }

    fun largestRequest(nowNanos: Long): Long {
        advance(nowNanos)
        return max(largestInWindow, largestInPreviousWindow)
    }

    private fun advance(nowNanos: Long) {
        if (nowNanos <= updatedAtNanos) return
        decayedTokens *= exp(-(nowNanos - updatedAtNanos) / TIME_CONSTANT_NANOS)
        updatedAtNanos = nowNanos
        if (nowNanos - windowStartNanos < LARGEST_REQUEST_WINDOW_NANOS) return
        largestInPreviousWindow =
            if (nowNanos - windowStartNanos < 2 * LARGEST_REQUEST_WINDOW_NANOS) largestInWindow else 0
        largestInWindow = 0
        windowStartNanos = nowNanos
    }

    private companion object {
        val TIME_CONSTANT_NANOS = DEMAND_TIME_CONSTANT.inWholeNanoseconds.toDouble()
        const val LARGEST_REQUEST_WINDOW_NANOS = 15_000_000_000L
    }
}
