package dev.bergamotwind.admission

import kotlin.math.exp
import kotlin.math.max

/** Exponentially weighted rate of tokens, and the largest request of the last one to two [LARGEST_NANOS]. */
internal class DemandMeter(nowNanos: Long) {
    private var updatedAt = nowNanos
    private var weighted = 0.0
    private var generationStart = nowNanos
    private var largest = 0L
    private var previousLargest = 0L

    fun add(tokens: Long, nowNanos: Long) {
        decay(nowNanos)
        weighted += tokens
        largest = max(largest, tokens)
    }

    fun tokensPerSecond(nowNanos: Long): Double {
        decay(nowNanos)
        return weighted / (TIME_CONSTANT_NANOS / NANOS_PER_SECOND)
    }

    fun largestRequest(nowNanos: Long): Long {
        decay(nowNanos)
        return max(largest, previousLargest)
    }

    private fun decay(nowNanos: Long) {
        if (nowNanos <= updatedAt) return
        weighted *= exp(-(nowNanos - updatedAt) / TIME_CONSTANT_NANOS)
        updatedAt = nowNanos
        if (nowNanos - generationStart < LARGEST_NANOS) return
        previousLargest = if (nowNanos - generationStart < 2 * LARGEST_NANOS) largest else 0
        largest = 0
        generationStart = nowNanos
    }

    private companion object {
        val TIME_CONSTANT_NANOS = DEMAND_TIME_CONSTANT.inWholeNanoseconds.toDouble()
        const val LARGEST_NANOS = 15_000_000_000L
    }
}
